#include "fireflythread/jobs/queue_assignments.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <utility>
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

auto ShardsOf(const ServiceName& service) -> std::vector<ShardName> {
  return {ShardName(service.value), ShardName(service.value + ".1")};
}

/// Commits transactions in order, as the store would, and reads the table's
/// empty part.
class Table {
 public:
  auto Commit(const std::vector<Transaction>& transactions) -> void {
    for (const Transaction& transaction : transactions) {
      ++this->version;
      for (const Condition& condition : transaction.conditions) {
        const auto row = this->rows.find({condition.part, condition.key});
        REQUIRE(condition.version ==
                (row == this->rows.end() ? 0 : row->second.version));
      }
      CHECK(transaction.conditions.size() + transaction.writes.size() <= 100);
      for (const Write& write : transaction.writes) {
        this->rows.erase({write.part, write.key});
        if (write.value) {
          this->rows[{write.part, write.key}] = {
              write.table, write.key, this->version, *write.value, write.part};
        }
      }
    }
  }

  [[nodiscard]] auto Read() const -> QueueAssignments {
    std::vector<Row> found;
    for (const auto& [key, row] : this->rows) {
      if (key.first.empty()) {
        found.push_back(row);
      }
    }
    QueueAssignments assignments;
    ApplyQueueAssignments(assignments, found);
    return assignments;
  }

  /// Assigns the queues as a configuration says.
  auto Assign(const Configuration& configuration, WallTime now) -> void {
    this->Commit(
        MakeQueueAssignments(this->Read(), configuration, ShardsOf, now));
  }

  [[nodiscard]] auto Assignment() const -> QueueAssignment {
    return this->Read().rows.at(QueueName("quotes"));
  }

  [[nodiscard]] auto HasEnded(const ServiceName& service,
                              std::uint64_t assignment) const -> bool {
    for (const ShardName& shard : ShardsOf(service)) {
      if (!this->rows.contains(
              {shard.value,
               EndedAssignmentKey(QueueName("quotes"), assignment)})) {
        return false;
      }
    }
    return true;
  }

  std::map<std::pair<std::string, std::string>, Row> rows;

 private:
  std::uint64_t version = 0;
};

TEST_CASE("A submission depends on no other shard once its queue's row is read",
          "[jobs]") {
  // Guards against submissions that need transactions in the parts of all
  // shards: in the peak of one queue these delayed the records of every pool.
  Table table;
  table.Assign(ConfigurationWith(kDesk), kNow);
  CHECK(table.Assignment().service == kDesk);
  CHECK(FormerServices(table.Assignment(), kNow).empty());
  CHECK(MakeQueueAssignments(table.Read(), ConfigurationWith(kDesk), ShardsOf,
                             kNow)
            .empty());
}

TEST_CASE("A submission to a queue that has moved depends on its former shard",
          "[jobs]") {
  // Guards against a job that is accepted a second time in the queue's new
  // shard.
  Table table;
  table.Assign(ConfigurationWith(kDesk), kNow);
  table.Assign(ConfigurationWith(kOffice), kNow);
  SECTION("for as long as callers may repeat") {
    const QueueAssignment assignment = table.Assignment();
    CHECK(FormerServices(assignment, kNow + seconds(1)) ==
          std::vector<ServiceName>{kDesk});
    CHECK(FormerServices(assignment, kNow + kRepeatWindow).empty());
  }
  SECTION("after it has moved back") {
    table.Assign(ConfigurationWith(kDesk), kNow + seconds(5));
    CHECK(FormerServices(table.Assignment(), kNow + seconds(6)) ==
          std::vector<ServiceName>{kOffice});
  }
  CHECK(table.Assignment().earlier_services.contains(kDesk));
}

TEST_CASE("An assignment ends in all shards before the next one begins",
          "[jobs]") {
  // Guards against an entry that stores a job in a shard which its queue has
  // left, because it has missed the move.
  Table table;
  table.Assign(ConfigurationWith(kDesk), kNow);
  const std::uint64_t first = table.Assignment().version;
  CHECK_FALSE(table.HasEnded(kDesk, first));
  table.Assign(ConfigurationWith(kOffice), kNow);
  CHECK(table.HasEnded(kDesk, first));
  const std::uint64_t second = table.Assignment().version;
  table.Assign(ConfigurationWith(kDesk), kNow + seconds(5));
  CHECK(table.HasEnded(kDesk, first));
  CHECK(table.HasEnded(kOffice, second));
  CHECK_FALSE(table.HasEnded(kDesk, table.Assignment().version));
  // Rows of assignments that no caller can remember are removed.
  table.Assign(ConfigurationWith(kOffice), kNow + seconds(5) + kRepeatWindow);
  CHECK_FALSE(table.HasEnded(kDesk, first));
  CHECK_FALSE(table.HasEnded(kOffice, second));
}

TEST_CASE("An assignment that was ended halfway is replaced", "[jobs]") {
  // Guards against a queue that accepts nothing any more: an entry ended its
  // assignment and was lost, and the queue's service did not change.
  Table table;
  table.Assign(ConfigurationWith(kDesk), kNow);
  QueueAssignments assignments = table.Read();
  const std::uint64_t first = table.Assignment().version;
  assignments.found_ended.emplace("quotes", first);
  table.Commit(MakeQueueAssignments(assignments, ConfigurationWith(kDesk),
                                    ShardsOf, kNow));
  CHECK(table.Assignment().service == kDesk);
  CHECK(table.Assignment().version != first);
  CHECK(FormerServices(table.Assignment(), kNow).empty());
}

TEST_CASE("A queue of a pool with many parts ends its assignment first",
          "[jobs]") {
  // Guards against a transaction that the store does not accept, and against
  // one that delays all parts of a pool.
  const auto many_shards = [](const ServiceName& service) {
    std::vector<ShardName> shards;
    for (int part = 0; part < 250; ++part) {
      shards.emplace_back(service.value + "." + std::to_string(part));
    }
    return shards;
  };
  Table table;
  table.Assign(ConfigurationWith(kDesk), kNow);
  const auto transactions = MakeQueueAssignments(
      table.Read(), ConfigurationWith(kOffice), many_shards, kNow);
  REQUIRE(transactions.size() == 251);
  CHECK(transactions.front().writes.size() == 1);
  CHECK(transactions.back().conditions.size() == 1);
  table.Commit(transactions);
  CHECK(table.Assignment().service == kOffice);
  CHECK(table.rows.size() == 251);
}

TEST_CASE("The waiting jobs of a queue that has moved are in all its services",
          "[jobs]") {
  // Guards against the answer that nothing waits while jobs wait where they
  // were accepted, also long after the queue has left.
  Configuration configuration = ConfigurationWith(kOffice);
  configuration.services = {{kDesk}, {kOffice}, {ServiceName("plant")}};
  const Queue& queue = configuration.queues.front();
  Table table;
  CHECK(ServicesWithJobs(queue, nullptr, configuration) ==
        std::vector<ServiceName>{kOffice});
  table.Assign(ConfigurationWith(kDesk), kNow);
  const QueueAssignment before = table.Assignment();
  CHECK(ServicesWithJobs(queue, &before, configuration) ==
        std::vector<ServiceName>{kDesk});
  table.Assign(configuration, kNow);
  table.Assign(ConfigurationWith(ServiceName("plant")),
               kNow + 2 * kRepeatWindow);
  table.Assign(configuration, kNow + 4 * kRepeatWindow);
  const QueueAssignment after = table.Assignment();
  CHECK(ServicesWithJobs(queue, &after, configuration) ==
        std::vector<ServiceName>{kOffice, kDesk, ServiceName("plant")});
}

TEST_CASE("A queue's row of an earlier version is read", "[jobs]") {
  // Guards against an upgrade that forgets where a queue's jobs were accepted.
  QueueAssignments assignments;
  Row row;
  row.key = "quotes";
  row.version = 4;
  row.value = R"({"service":"office","former":{"desk":1000000000}})";
  ApplyQueueAssignments(assignments, {row});
  const QueueAssignment& assignment = assignments.rows.at(QueueName("quotes"));
  CHECK(assignment.service == kOffice);
  CHECK(FormerServices(assignment, kNow) == std::vector<ServiceName>{kDesk});
  CHECK(assignment.earlier_services.contains(kDesk));
}

}  // namespace
}  // namespace fireflythread
