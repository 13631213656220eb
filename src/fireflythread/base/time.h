#ifndef FIREFLYTHREAD_BASE_TIME_H_
#define FIREFLYTHREAD_BASE_TIME_H_

#include <chrono>

namespace fireflythread {

/// The clock type of every time point in the core. It stands for
/// CLOCK_BOOTTIME, which goes on while a VM is suspended, so that a lease is
/// seen to have lapsed on waking. The core never reads it; ReadBootClock() in
/// io_clock.h does.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;  // NOLINT: named by the standard
};

using Duration = std::chrono::nanoseconds;
using TimePoint = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_TIME_H_
