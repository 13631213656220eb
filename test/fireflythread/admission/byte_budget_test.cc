#include "fireflythread/admission/byte_budget.h"

#include <catch2/catch.hpp>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBody = 240'000;

TEST_CASE("A crowd of stalled bodies stays within the budget", "[admission]") {
  // 600 clients that stop one byte short. Guards against a process that runs
  // out of memory, and against a refused client that sends its body at once.
  ByteBudget budget;
  budget.limit = 20 * kBody;
  TimePoint now{std::chrono::hours(1)};
  std::size_t evicted = 0;
  for (std::uint64_t client = 0; client < 600; ++client) {
    now += milliseconds(1);
    evicted += ChargeBytes(budget, client, kBody - 1, now).size();
    CHECK(budget.used <= budget.limit);
  }
  CHECK(evicted == 580);
  for (std::uint64_t piece = 0; piece < 60; ++piece) {
    now += milliseconds(1);
    for (const std::uint64_t stalled : ChargeBytes(budget, 1000, 4000, now)) {
      CHECK(stalled != 1000);
    }
  }
  ReleaseBytes(budget, 1000);
  CHECK(budget.holders.size() == 19);
}

TEST_CASE(
    "A client that sends a little now and then gives way to one that "
    "sends at once",
    "[admission]") {
  // Guards against slow senders that keep the budget for themselves.
  ByteBudget budget;
  budget.limit = 10;
  TimePoint now{std::chrono::hours(1)};
  CHECK(ChargeBytes(budget, 1, 9, now).empty());
  now += milliseconds(900);
  CHECK(ChargeBytes(budget, 2, 2, now) == std::vector<std::uint64_t>{1});
  CHECK(budget.used == 2);
}

TEST_CASE("A request that is worked on does not give way to a crowd",
          "[admission]") {
  // A complete submission waits for a slow store while a crowd sends a little
  // now and then. Guards against a caller without an answer to a job that is
  // stored, and against new requests beside many that wait.
  ByteBudget budget;
  budget.limit = 100;
  TimePoint now{std::chrono::hours(1)};
  CHECK(ChargeBytes(budget, 1, 60, now).empty());
  MarkHandled(budget, 1);
  for (std::uint64_t client = 2; client < 50; ++client) {
    now += milliseconds(10);
    for (const std::uint64_t evicted : ChargeBytes(budget, client, 20, now)) {
      CHECK(evicted != 1);
    }
    CHECK(budget.used <= budget.limit);
  }
  now += milliseconds(10);
  CHECK(ChargeBytes(budget, 60, 41, now).back() == 60);
  CHECK(budget.used == 60);
  ReleaseBytes(budget, 1);
  CHECK(budget.used == 0);
}

TEST_CASE("A request larger than the budget gives way itself", "[admission]") {
  ByteBudget budget;
  budget.limit = 10;
  const TimePoint now{std::chrono::hours(1)};
  CHECK(ChargeBytes(budget, 1, 11, now) == std::vector<std::uint64_t>{1});
  CHECK(budget.used == 0);
  ReleaseBytes(budget, 1);
  CHECK(budget.used == 0);
}

}  // namespace
}  // namespace fireflythread::test
