#include <catch2/catch.hpp>
#include <random>

#include "fireflythread/base/random.h"
#include "fireflythread/retry/retry_budget.h"
#include "fireflythread/retry/retry_policy.h"

namespace fireflythread {

namespace {

using std::chrono::milliseconds;

auto Facts(bool idempotent, AttemptResult last) -> RetryFacts {
  return {idempotent, last, milliseconds(1000), milliseconds(10)};
}

}  // namespace

// Guards against retrying a non-idempotent request that may have run, and
// against retrying answered requests.
TEST_CASE("non-idempotent requests are retried only if they did not run") {
  CHECK(MayRetry(Facts(true, AttemptResult::kUnknown)));
  CHECK(MayRetry(Facts(true, AttemptResult::kNotSent)));
  CHECK_FALSE(MayRetry(Facts(true, AttemptResult::kAnswered)));
  CHECK_FALSE(MayRetry(Facts(false, AttemptResult::kUnknown)));
  CHECK(MayRetry(Facts(false, AttemptResult::kNotSent)));
  CHECK(MayRetry(Facts(false, AttemptResult::kRefused)));
  RetryFacts late = Facts(true, AttemptResult::kRefused);
  late.time_left = milliseconds(5);
  CHECK_FALSE(MayRetry(late));
}

// Guards against retries that overload a failing pool: more than one per ten
// first attempts, or a large burst after a time with few failures.
TEST_CASE("the budget limits retries to a tenth of the first attempts") {
  RetryBudget budget;
  CHECK_FALSE(budget.TryTake());
  int repeats = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountFirstAttempt();
    while (budget.TryTake()) {
      ++repeats;
    }
  }
  CHECK(repeats == 100);
  for (int i = 0; i < 100000; ++i) {
    budget.CountFirstAttempt();
  }
  int burst = 0;
  while (budget.TryTake()) {
    ++burst;
  }
  CHECK(burst == 50);
}

// Guards against hedging requests that must not run twice, and requests that
// are not urgent.
TEST_CASE("only idempotent counter requests are hedged") {
  ServiceTime time;
  CHECK_FALSE(HedgeDelay(RequestClass::kCounter, true, time).has_value());
  for (int i = 0; i < 100; ++i) {
    ObserveServiceTime(time, milliseconds(i % 2 == 0 ? 10 : 30));
  }
  const auto delay = HedgeDelay(RequestClass::kCounter, true, time);
  REQUIRE(delay.has_value());
  CHECK(*delay > milliseconds(30));
  CHECK(*delay < milliseconds(80));
  CHECK_FALSE(HedgeDelay(RequestClass::kCounter, false, time).has_value());
  CHECK_FALSE(HedgeDelay(RequestClass::kBatch, true, time).has_value());
}

// Guards against hedges that use up the budget for retries.
TEST_CASE("about a twentieth of the answers take longer than the hedge delay") {
  Random random(20261204);
  std::exponential_distribution<double> milliseconds_drawn(1.0 / 40);
  ServiceTime time;
  int longer = 0;
  constexpr int kAnswers = 10000;
  for (int i = 0; i < kAnswers; ++i) {
    const std::chrono::duration<double, std::milli> drawn(
        milliseconds_drawn(random));
    const auto answer = std::chrono::duration_cast<Duration>(drawn);
    const auto delay = HedgeDelay(RequestClass::kCounter, true, time);
    longer += delay && answer > *delay ? 1 : 0;
    ObserveServiceTime(time, answer);
  }
  CHECK(longer > kAnswers * 0.03);
  CHECK(longer < kAnswers * 0.07);
}

// Guards against an unresponsive connection that uses up the whole time of an
// idempotent request, so that none remains for an attempt on another worker.
TEST_CASE("an attempt of an idempotent request leaves time for another") {
  ServiceTime time;
  for (int i = 0; i < 100; ++i) {
    ObserveServiceTime(time, milliseconds(20));
  }
  CHECK(AttemptTimeLimit(true, milliseconds(1000), time) == milliseconds(500));
  CHECK(AttemptTimeLimit(false, milliseconds(1000), time) ==
        milliseconds(1000));
  CHECK(AttemptTimeLimit(true, milliseconds(100), time) == milliseconds(100));
}

}  // namespace fireflythread
