#ifndef FIREFLYTHREAD_ENTRY_CALL_DEADLINE_H_
#define FIREFLYTHREAD_ENTRY_CALL_DEADLINE_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Delay before a store call for a caller's request is retried.
inline constexpr std::chrono::milliseconds kCallRetryDelay{100};

/// Returns the timeout of a store call for a request with this deadline.
[[nodiscard]] auto CallTimeout(TimePoint deadline) -> Duration;

/// Returns whether a store call can be retried before the deadline.
[[nodiscard]] auto HasTimeToRetry(TimePoint deadline) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_CALL_DEADLINE_H_
