#ifndef FIREFLYTHREAD_BASE_IO_CLOCK_H_
#define FIREFLYTHREAD_BASE_IO_CLOCK_H_

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Reads CLOCK_BOOTTIME.
[[nodiscard]] auto ReadBootClock() -> TimePoint;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_IO_CLOCK_H_
