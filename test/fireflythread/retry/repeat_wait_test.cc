#include "fireflythread/retry/repeat_wait.h"

#include <catch2/catch.hpp>

namespace fireflythread {

using std::chrono::milliseconds;

// Guards against a repeat that waits beyond its caller's deadline, and against
// one that reads the store without pauses.
TEST_CASE("a repeat reads with growing pauses and ends before its deadline") {
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  const TimePoint deadline = start + milliseconds(5000);
  RepeatWait wait = BeginRepeatWait(start, deadline);
  CHECK(wait.until == deadline - milliseconds(100));
  CHECK(BeginRepeatWait(start, start + milliseconds(200)).until ==
        start + milliseconds(180));
  TimePoint now = start;
  Duration last(0);
  int reads = 0;
  for (; now < wait.until; ++reads) {
    const TimePoint next = NextRepeatRead(wait, now);
    CHECK(next - now >= milliseconds(20));
    CHECK(next - now <= milliseconds(500));
    CHECK(next - now >= last);
    last = next - now;
    now = next;
  }
  CHECK(last == milliseconds(500));
  CHECK(reads < 16);
}

}  // namespace fireflythread
