#include "fireflythread/admission/admission_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

namespace fireflythread {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};

/// A pool with free slots only, so that no request is refused for its deadline.
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

// Guards against serving batch or deadline requests before counter requests,
// and a later deadline before an earlier one.
TEST_CASE("the queue serves by class and then by deadline") {
  AdmissionQueue queue(AdmissionLimits{});
  Offer(queue, Request(1, RequestClass::kBatch, 100));
  Offer(queue, Request(2, RequestClass::kDeadline, 100));
  Offer(queue, Request(3, RequestClass::kCounter, 900));
  Offer(queue, Request(4, RequestClass::kCounter, 300));
  CHECK(TakeAll(queue, kStart) == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Guards against starvation of the batch class under constant counter load,
// and against a batch class that gets more than its share.
TEST_CASE("batch gets its share and no more under constant counter load") {
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

// Guards against starvation of the deadline class, which has no guaranteed
// share and depends on aging.
TEST_CASE("a waiting class gains a bounded share of the dequeued requests") {
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

// Guards against a burst of one team that delays the requests of all others.
TEST_CASE("teams are served in proportion to their weights") {
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

// Guards against queuing requests that cannot be answered in time, and against
// refusing requests that can.
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

// Guards against an unbounded queue, and against counter requests that are
// refused because the queue is full of batch requests.
TEST_CASE("a full queue evicts a request only for a higher class") {
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

// Guards against a caller that gets "not run" only after its deadline, and
// against sending a cancelled request.
TEST_CASE(
    "requests with an unreachable deadline and removed ones are dropped") {
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
