#include "fireflythread/jobs/queue_assignments.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WallTime kNow{milliseconds(1'000'000'000)};
const ServiceName kDesk{"desk"};
const ServiceName kOffice{"office"};

auto QueueAt(const ServiceName& service) -> Queue {
  Queue queue;
  queue.name = QueueName("quotes");
  queue.service = service;
  return queue;
}

auto ConfigurationWith(const ServiceName& service) -> Configuration {
  Configuration configuration;
  configuration.version = 1;
  configuration.queues.push_back(QueueAt(service));
  return configuration;
}

/// Applies a transaction and reads its rows, as the store would return them.
auto Apply(QueueAssignments& assignments, const Transaction& transaction)
    -> void {
  static std::uint64_t version = 0;
  ++version;
  std::vector<Row> rows;
  for (const Write& write : transaction.writes) {
    Row row;
    row.table = write.table;
    row.key = write.key;
    row.value = *write.value;
    row.version = version;
    rows.push_back(row);
  }
  ApplyQueueAssignments(assignments, rows);
}

TEST_CASE("A submission depends on no other shard once its queue's row is read",
          "[jobs]") {
  // Guards against submissions that need transactions in the parts of all
  // shards: in the peak of one queue these delayed the records of every pool.
  QueueAssignments assignments;
  ApplyQueueAssignments(assignments, {});
  CHECK_FALSE(FormerAssignments(assignments, QueueAt(kDesk), kNow).has_value());
  Apply(assignments,
        MakeQueueAssignments(assignments, ConfigurationWith(kDesk), kNow));
  const auto former = FormerAssignments(assignments, QueueAt(kDesk), kNow);
  REQUIRE(former.has_value());
  CHECK(former->empty());
  CHECK(MakeQueueAssignments(assignments, ConfigurationWith(kDesk), kNow)
            .writes.empty());
}

TEST_CASE("A submission to a queue that has moved depends on its former shard",
          "[jobs]") {
  // Guards against a job that is accepted a second time in the queue's new
  // shard.
  QueueAssignments assignments;
  ApplyQueueAssignments(assignments, {});
  Apply(assignments,
        MakeQueueAssignments(assignments, ConfigurationWith(kDesk), kNow));

  SECTION("before the row shows the move") {
    const auto former = FormerAssignments(assignments, QueueAt(kOffice), kNow);
    REQUIRE(former.has_value());
    CHECK(*former == std::vector<ServiceName>{kDesk});
  }
  SECTION("for as long as callers may repeat") {
    Apply(assignments,
          MakeQueueAssignments(assignments, ConfigurationWith(kOffice), kNow));
    const Queue queue = QueueAt(kOffice);
    CHECK(FormerAssignments(assignments, queue, kNow + seconds(1))->size() ==
          1);
    CHECK(FormerAssignments(assignments, queue, kNow + kRepeatWindow)->empty());
  }
  SECTION("after it has moved back") {
    Apply(assignments,
          MakeQueueAssignments(assignments, ConfigurationWith(kOffice), kNow));
    Apply(assignments,
          MakeQueueAssignments(assignments, ConfigurationWith(kDesk),
                               kNow + seconds(5)));
    const auto former =
        FormerAssignments(assignments, QueueAt(kDesk), kNow + seconds(6));
    REQUIRE(former.has_value());
    CHECK(*former == std::vector<ServiceName>{kOffice});
  }
}

TEST_CASE(
    "A changed configuration makes former shards unknown until rows are "
    "read again",
    "[jobs]") {
  // Guards against outdated rows after a move that another entry noticed first.
  QueueAssignments assignments;
  ApplyQueueAssignments(assignments, {});
  Apply(assignments,
        MakeQueueAssignments(assignments, ConfigurationWith(kDesk), kNow));
  assignments.current = false;
  CHECK_FALSE(FormerAssignments(assignments, QueueAt(kDesk), kNow).has_value());
}

}  // namespace
}  // namespace fireflythread
