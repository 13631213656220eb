#include "fireflythread/jobs/step_delay.h"

#include <catch2/catch.hpp>

namespace fireflythread::test {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("Steps take at most half of the main loop's time", "[jobs]") {
  // Guards against orders, reports and store calls that are delayed because the
  // next step of 10 to 28 ms is due 5 ms after the last one.
  for (int step = 0; step <= 100000; step += 1700) {
    for (int idle = 0; idle <= step; idle += 1300) {
      CAPTURE(step, idle);
      const microseconds last(step);
      CHECK(microseconds(idle) + StepDelay(last, microseconds(idle)) >= last);
    }
  }
}

TEST_CASE("A step follows soon after an event in a shard without load",
          "[jobs]") {
  // Guards against starts that wait although the main loop has time.
  CHECK(StepDelay(microseconds(300), milliseconds(0)) == milliseconds(5));
  CHECK(StepDelay(milliseconds(28), milliseconds(500)) == milliseconds(5));
  CHECK(StepDelay(milliseconds(28), milliseconds(8)) == milliseconds(20));
}

TEST_CASE("A suspension during a step does not delay the polls of workers",
          "[jobs]") {
  // Guards against leases that expire because the owner's VM was suspended
  // during a step, which counts as part of the step's time.
  CHECK(StepDelay(milliseconds(8000), milliseconds(0)) == milliseconds(100));
}

}  // namespace
}  // namespace fireflythread::test
