#ifndef FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_
#define FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Pauses between two reads of a claimed record. The first is about the time of
/// a short request; the longest bounds what a waiting repeat costs the store.
inline constexpr Duration kFirstRepeatPause = std::chrono::milliseconds(20);
inline constexpr Duration kMaxRepeatPause = std::chrono::milliseconds(500);

/// The wait of a repeat for the end of the first request with its key.
struct RepeatWait {
  /// The caller is told "in progress" then.
  TimePoint until;
  Duration pause = kFirstRepeatPause;
};

/// Leaves a tenth of the remaining time, at most 100 ms, for the answer to
/// reach the caller before its deadline.
[[nodiscard]] auto BeginRepeatWait(TimePoint now, TimePoint deadline)
    -> RepeatWait;

/// When to read the record again; lengthens the pause after it.
[[nodiscard]] auto NextRepeatRead(RepeatWait& wait, TimePoint now) -> TimePoint;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_REPEAT_WAIT_H_
