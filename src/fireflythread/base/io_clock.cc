#include "fireflythread/base/io_clock.h"

#include <ctime>

#include "fireflythread/base/assert.h"

namespace fireflythread {

auto ReadBootClock() -> TimePoint {
  timespec value{};
  const int status = clock_gettime(CLOCK_BOOTTIME, &value);
  FIREFLYTHREAD_ASSERT(status == 0, "CLOCK_BOOTTIME is readable");
  return TimePoint(std::chrono::seconds(value.tv_sec) +
                   std::chrono::nanoseconds(value.tv_nsec));
}

}  // namespace fireflythread
