#ifndef FIREFLYTHREAD_BASE_IO_PERIODIC_TIMER_H_
#define FIREFLYTHREAD_BASE_IO_PERIODIC_TIMER_H_

#include <glib.h>

#include <chrono>
#include <functional>

namespace fireflythread {

/// Calls a function on the main loop once in each period until destroyed.
class PeriodicTimer {
 public:
  PeriodicTimer(std::chrono::milliseconds period,
                std::function<void()> function);
  ~PeriodicTimer();

  PeriodicTimer(const PeriodicTimer&) = delete;
  auto operator=(const PeriodicTimer&) -> PeriodicTimer& = delete;

 private:
  static auto OnTimeout(gpointer data) -> gboolean;

  std::function<void()> function;
  guint source = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_IO_PERIODIC_TIMER_H_
