#include "fireflythread/retry/repeat_wait.h"

#include <algorithm>
#include <utility>

namespace fireflythread {

auto BeginRepeatWait(TimePoint now, TimePoint deadline) -> RepeatWait {
  constexpr Duration kMaxAnswerMargin = std::chrono::milliseconds(100);
  constexpr int kAnswerMarginDivisor = 10;
  const Duration margin = std::min<Duration>(
      (deadline - now) / kAnswerMarginDivisor, kMaxAnswerMargin);
  return {deadline - margin};
}

auto NextRepeatRead(RepeatWait& wait, TimePoint now) -> TimePoint {
  const Duration pause = wait.pause;
  wait.pause = std::min<Duration>(2 * pause, kMaxRepeatPause);
  return now + pause;
}

}  // namespace fireflythread
