#include "fireflythread/admission/admission_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

namespace fireflythread {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

/// A load without busy slots, under which nothing is shed.
const PoolLoad kIdle{1000, 0, milliseconds(1)};

auto Request(std::uint64_t id,
             RequestClass request_class,
             int deadline_ms,
             const std::string& team = "") -> QueuedRequest {
  return {id,
          TeamName(team),
          request_class,
          kStart,
          kStart + milliseconds(deadline_ms),
          milliseconds(0)};
}

auto TakeAll(AdmissionQueue& queue, TimePoint now)
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> ids;
  while (const auto next = queue.Take(now)) {
    ids.push_back(next->id);
  }
  return ids;
}

auto Offer(AdmissionQueue& queue, const QueuedRequest& request) -> void {
  const auto offered = queue.Offer(request, kIdle, kStart);
  REQUIRE_FALSE(offered.refused.has_value());
}

}  // namespace

// Guards against batch or deadline work ahead of a counter order, and against
// a later deadline ahead of an earlier one.
TEST_CASE("the queue serves by class and then by deadline") {
  AdmissionQueue queue(AdmissionLimits{});
  Offer(queue, Request(1, RequestClass::kBatch, 100));
  Offer(queue, Request(2, RequestClass::kDeadline, 100));
  Offer(queue, Request(3, RequestClass::kCounter, 900));
  Offer(queue, Request(4, RequestClass::kCounter, 300));
  CHECK(TakeAll(queue, kStart) == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Guards against batch work that never runs while counter orders keep coming,
// and against batch work that takes more than its small part from them.
TEST_CASE("batch gets its share and no more under a flood of counter orders") {
  AdmissionQueue queue(AdmissionLimits{});
  for (std::uint64_t id = 0; id < 1000; ++id) {
    Offer(queue, Request(id, RequestClass::kCounter, 5000));
  }
  for (std::uint64_t id = 1000; id < 1100; ++id) {
    Offer(queue, Request(id, RequestClass::kBatch, 5000));
  }
  int batch = 0;
  for (int pick = 0; pick < 400; ++pick) {
    batch += queue.Take(kStart)->id >= 1000 ? 1 : 0;
  }
  CHECK(batch >= 19);
  CHECK(batch <= 21);
}

// Guards against a deadline class that starves, which has no fixed share.
TEST_CASE("a class that waits gains a bounded part of the picks") {
  AdmissionQueue queue(AdmissionLimits{});
  for (std::uint64_t id = 0; id < 1000; ++id) {
    Offer(queue, Request(id, RequestClass::kCounter, 60000));
  }
  for (std::uint64_t id = 1000; id < 1200; ++id) {
    Offer(queue, Request(id, RequestClass::kDeadline, 60000));
  }
  int deadline = 0;
  const TimePoint later = kStart + std::chrono::seconds(30);
  for (int pick = 0; pick < 400; ++pick) {
    deadline += queue.Take(later)->id >= 1000 ? 1 : 0;
  }
  CHECK(deadline >= 30);
  CHECK(deadline <= 42);
}

// Guards against one team's flood that delays every other team's requests.
TEST_CASE("teams take turns by weight") {
  AdmissionQueue queue(AdmissionLimits{});
  queue.SetTeamWeights({{TeamName("a"), 1.0}, {TeamName("b"), 3.0}});
  for (std::uint64_t id = 0; id < 400; ++id) {
    Offer(queue, Request(id, RequestClass::kCounter, 100, "a"));
    Offer(queue, Request(1000 + id, RequestClass::kCounter, 900, "b"));
  }
  std::map<bool, int> served;
  for (int pick = 0; pick < 200; ++pick) {
    ++served[queue.Take(kStart)->id >= 1000];
  }
  CHECK(served[false] == Approx(50).margin(2));
  CHECK(served[true] == Approx(150).margin(2));
}

// Guards against requests that wait for an answer that cannot come in time,
// and against shedding those that can be served.
TEST_CASE("a request that cannot meet its deadline is refused at once") {
  AdmissionQueue queue(AdmissionLimits{});
  // Ten slots of 100 ms serve 100 requests a second.
  const PoolLoad load{10, 10, milliseconds(100)};
  int accepted = 0;
  for (std::uint64_t id = 0; id < 200; ++id) {
    QueuedRequest request = Request(id, RequestClass::kCounter, 600);
    request.estimated_time = milliseconds(100);
    const auto offered = queue.Offer(request, load, kStart);
    if (offered.refused) {
      CHECK(*offered.refused == RefusalReason::kDeadlineUnreachable);
    } else {
      ++accepted;
    }
  }
  CHECK(accepted == 50);
}

// Guards against a queue without bound, and against a full queue of batch
// work that shuts out counter orders.
TEST_CASE("a full queue gives way to a higher class only") {
  AdmissionQueue queue(AdmissionLimits{.max_queued = 2});
  Offer(queue, Request(1, RequestClass::kBatch, 100));
  Offer(queue, Request(2, RequestClass::kBatch, 900));
  const auto same =
      queue.Offer(Request(3, RequestClass::kBatch, 50), kIdle, kStart);
  CHECK(same.refused == RefusalReason::kQueueFull);
  const auto higher =
      queue.Offer(Request(4, RequestClass::kCounter, 50), kIdle, kStart);
  CHECK_FALSE(higher.refused.has_value());
  REQUIRE(higher.evicted.has_value());
  CHECK(higher.evicted->id == 2);
  CHECK(queue.Size() == 2);
}

// Guards against a caller that waits beyond its deadline for "not run", and a
// cancelled request that is sent all the same.
TEST_CASE("hopeless and removed requests leave the queue") {
  AdmissionQueue queue(AdmissionLimits{});
  QueuedRequest slow = Request(1, RequestClass::kCounter, 100);
  slow.estimated_time = milliseconds(80);
  Offer(queue, slow);
  Offer(queue, Request(2, RequestClass::kCounter, 100));
  Offer(queue, Request(3, RequestClass::kCounter, 500));
  const auto unreachable =
      queue.TakeDeadlineUnreachable(kStart + milliseconds(30));
  REQUIRE(unreachable.size() == 1);
  CHECK(unreachable.front().id == 1);
  CHECK(queue.Remove(2));
  CHECK_FALSE(queue.Remove(2));
  CHECK(TakeAll(queue, kStart) == std::vector<std::uint64_t>{3});
}

}  // namespace fireflythread
