#ifndef FIREFLYTHREAD_ENTRY_ONE_SHOT_TIMER_H_
#define FIREFLYTHREAD_ENTRY_ONE_SHOT_TIMER_H_

#include <glib.h>

#include <chrono>
#include <functional>

namespace fireflythread {

/// Calls a function once on the main loop after a delay.
class OneShotTimer {
 public:
  explicit OneShotTimer(std::function<void()> function);
  ~OneShotTimer();
  OneShotTimer(const OneShotTimer&) = delete;
  auto operator=(const OneShotTimer&) -> OneShotTimer& = delete;

  /// Starts the timer; has no effect while it is running.
  auto Start(std::chrono::milliseconds delay) -> void;
  /// Stops the timer without calling the function.
  auto Cancel() -> void;

 private:
  static auto OnTimeout(gpointer data) -> gboolean;

  std::function<void()> function;
  guint source = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_ONE_SHOT_TIMER_H_
