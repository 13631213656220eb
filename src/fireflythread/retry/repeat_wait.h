#ifndef FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_
#define FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Initial and maximum pause between two reads of a claimed record. The initial
/// pause is about the time of a short request; the growth to the maximum limits
/// the load that a waiting repeat puts on the store.
inline constexpr Duration kFirstRepeatPause = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRepeatPause = std::chrono::milliseconds(500);

/// State of a repeated request that waits for the completion of the first
/// request with its key.
struct RepeatWait {
  /// When the wait ends and the caller is told "in progress".
  TimePoint until;
  /// Pause before the next read.
  Duration pause = kFirstRepeatPause;
};

/// Starts a wait. It ends a tenth of the remaining time, at most 100 ms, before
/// the deadline, so that the answer reaches the caller in time.
[[nodiscard]] auto BeginRepeatWait(TimePoint now, TimePoint deadline)
    -> RepeatWait;

/// Returns when to read the record again and doubles the pause that follows, up
/// to kMaxRepeatPause.
[[nodiscard]] auto NextRepeatRead(RepeatWait& wait, TimePoint now) -> TimePoint;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_
