#include "fireflythread/interference/filler_pace.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// `harm_ms` of an earlier deployment, the shortest one.
constexpr milliseconds kHarm{4000};

/// A worker that reports every 500 ms, with its fillers' speed updated every
/// 100 ms.
class PacedWorker {
 public:
  /// Runs for this long. `pressure` gets the time since the beginning and the
  /// speed limit that has been in effect for 100 ms.
  auto Run(milliseconds time,
           const std::function<double(milliseconds, int)>& pressure,
           milliseconds report_period = milliseconds(500)) -> void {
    for (milliseconds at{0}; at < time; at += milliseconds(100)) {
      if (at % report_period == milliseconds(0)) {
        this->serving.pressure = pressure(at, this->applied);
        this->serving.reported_at = this->now;
      }
      this->applied = this->pace.percent;
      this->TrackHarm(pressure(at, this->applied) > 1);
      const int before = this->pace.percent;
      if (UpdatePace(this->pace, this->serving, this->now)) {
        ++this->changes;
        this->largest_step =
            std::max(this->largest_step, this->pace.percent - before);
      }
      this->lowest = std::min(this->lowest, this->pace.percent);
      this->standstill = this->pace.percent == 0
                             ? this->standstill + milliseconds(100)
                             : milliseconds(0);
      this->longest_standstill =
          std::max(this->longest_standstill, this->standstill);
      this->now += milliseconds(100);
    }
  }

  FillerPace pace;
  ServingPressure serving{true, 0, {}};
  TimePoint now{std::chrono::hours(1)};
  int applied = 100;
  int changes = 0;
  int lowest = 100;
  int largest_step = 0;
  milliseconds standstill{0};
  milliseconds longest_standstill{0};
  /// Longest time over the target with fillers at work.
  milliseconds longest_harm{0};

 private:
  auto TrackHarm(bool over) -> void {
    this->harm = over && this->applied > 0 ? this->harm + milliseconds(100)
                                           : milliseconds(0);
    this->longest_harm = std::max(this->longest_harm, this->harm);
  }

  milliseconds harm{0};
};

TEST_CASE("Fillers stand still well before harm is done",
          "[interference][pace]") {
  // Load: the tail is at 1.5 times its target at any speed of the fillers but
  // 0. Guards against a lowering that comes too late.
  PacedWorker worker;
  worker.Run(kHarm / 2,
             [](milliseconds, int percent) { return percent > 0 ? 1.5 : 0.7; });
  CHECK(worker.pace.percent == 0);
  CHECK(worker.longest_harm <= milliseconds(2000));
}

TEST_CASE("Late reports do not delay the lowering", "[interference][pace]") {
  // Load: the same with one report in 3 s.
  PacedWorker worker;
  worker.Run(
      kHarm, [](milliseconds, int) { return 1.5; }, seconds(3));
  CHECK(worker.longest_harm <= milliseconds(2500));
  CHECK(worker.lowest == 0);
}

TEST_CASE("Speed is lowered in steps, no further than needed",
          "[interference][pace]") {
  // Load: 40% of the fillers' speed is harmless.
  PacedWorker worker;
  worker.Run(seconds(6), [](milliseconds, int percent) {
    return percent > 40 ? 1.5 : 0.9;
  });
  CHECK(worker.pace.percent == 40);
  CHECK(worker.changes == 1);
}

TEST_CASE("Speed returns when load is calm", "[interference][pace]") {
  // Load: 5 s over the target, then low.
  PacedWorker worker;
  worker.Run(seconds(5), [](milliseconds, int) { return 1.5; });
  REQUIRE(worker.pace.percent == 0);
  worker.Run(seconds(15), [](milliseconds, int) { return 0.5; });
  CHECK(worker.pace.percent == 100);
  CHECK(worker.largest_step == 20);
}

TEST_CASE("Between calm and over nothing changes", "[interference][pace]") {
  // Load: a tail that swings between 85% and 99% of its target. Guards against
  // oscillation around a threshold.
  PacedWorker worker;
  worker.Run(seconds(60), [](milliseconds at, int) {
    return at % seconds(2) < seconds(1) ? 0.85 : 0.99;
  });
  CHECK(worker.changes == 0);
}

TEST_CASE("A raise that does harm is repeated ever less often",
          "[interference][pace]") {
  // Load: for 5 minutes any speed above 40% does harm, and at most 40% is calm.
  // Guards against oscillation.
  PacedWorker worker;
  worker.Run(std::chrono::minutes(5), [](milliseconds, int percent) {
    return percent > 40 ? 1.5 : 0.5;
  });
  CHECK(worker.longest_harm <= milliseconds(2000));
  // A raise and a lowering each 30 s, and more at the beginning.
  CHECK(worker.changes <= 40);
}

TEST_CASE("Swinging load does no harm", "[interference][pace]") {
  // Load: 4.5 s of every 18 s the fillers' full speed doubles the tail.
  PacedWorker worker;
  worker.Run(std::chrono::minutes(3), [](milliseconds at, int percent) {
    const bool peak = at % seconds(18) < milliseconds(4500);
    return (peak ? 0.9 : 0.4) * (1 + percent / 100.0);
  });
  CHECK(worker.longest_harm <= kHarm / 2);
  CHECK(worker.longest_standstill <= kMaxStandstill);
}

TEST_CASE("Speed returns in the calm phases of a swinging load",
          "[interference][pace]") {
  // Load: for 10 minutes, 4.5 s of every 18 s the fillers do harm; else they
  // don't. Guards against fillers that stay slow as each peak seems to show
  // that the last raise did harm.
  for (const double calm_tail : {0.3, 0.4}) {
    PacedWorker worker;
    double sum = 0;
    int count = 0;
    worker.Run(std::chrono::minutes(10), [&](milliseconds at, int percent) {
      const bool peak = at % seconds(18) < milliseconds(4500);
      if (at >= std::chrono::minutes(5)) {
        sum += percent;
        ++count;
      }
      return (peak ? 0.9 : calm_tail) * (1 + percent / 100.0);
    });
    CAPTURE(calm_tail);
    CHECK(sum / count >= 50);
    CHECK(worker.longest_harm <= kHarm / 2);
  }
}

TEST_CASE("A spike does not slow fillers for good", "[interference][pace]") {
  // Load: half a second over the target, then 85% of it at any speed.
  PacedWorker worker;
  worker.Run(milliseconds(500), [](milliseconds, int) { return 1.5; });
  REQUIRE(worker.pace.percent < 100);
  worker.Run(std::chrono::minutes(3), [](milliseconds, int) { return 0.85; });
  CHECK(worker.pace.percent == 100);
}

TEST_CASE("No filler stands still for good", "[interference][pace]") {
  // Load: a tail that is over its target by itself, for 10 minutes.
  PacedWorker worker;
  worker.Run(std::chrono::minutes(10), [](milliseconds, int) { return 2.0; });
  CHECK(worker.longest_standstill <= kMaxStandstill);
  CHECK(worker.longest_harm <= milliseconds(2000));
}

TEST_CASE("Without a serving task the fillers run at full speed at once",
          "[interference][pace]") {
  PacedWorker worker;
  worker.Run(seconds(5), [](milliseconds, int) { return 1.5; });
  REQUIRE(worker.pace.percent == 0);
  worker.serving = {};
  CHECK(UpdatePace(worker.pace, worker.serving, worker.now));
  CHECK(worker.pace.percent == 100);
}

}  // namespace
}  // namespace fireflythread::test
