#include "fireflythread/entry/call_deadline.h"

#include <algorithm>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {

auto CallTimeout(TimePoint deadline) -> Duration {
  const Duration left = deadline - ReadBootClock();
  return std::clamp<Duration>(left, std::chrono::milliseconds(1),
                              kStoreTimeout);
}

auto HasTimeToRetry(TimePoint deadline) -> bool {
  return deadline - ReadBootClock() > 2 * kCallRetryDelay;
}

}  // namespace fireflythread
