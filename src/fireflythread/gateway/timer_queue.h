#ifndef FIREFLYTHREAD_GATEWAY_TIMER_QUEUE_H_
#define FIREFLYTHREAD_GATEWAY_TIMER_QUEUE_H_

#include <glib.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Names one timer of a TimerQueue.
struct TimerId {
  TimePoint at;
  std::uint64_t number = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a pointer.
  auto operator<=>(const TimerId&) const = default;  // NOLINT
};

/// Many one-shot timers on a single main loop source, because a source for
/// each request's deadline costs more than the rest of its handling.
class TimerQueue {
 public:
  using Callback = std::function<void()>;

  TimerQueue();
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  auto operator=(const TimerQueue&) -> TimerQueue& = delete;

  /// Runs `callback` once, at `at` or soon after, unless it is cancelled.
  [[nodiscard]] auto RunAt(TimePoint at, Callback callback) -> TimerId;

  /// Does nothing if the timer has run.
  auto Cancel(const TimerId& id) -> void;

  /// Runs what is due. Called by the main loop source.
  auto RunDue(TimePoint now) -> void;

 private:
  auto SetReadyTime() -> void;

  GSource* source = nullptr;
  std::uint64_t next_number = 1;
  TimePoint ready_at = TimePoint::max();
  std::map<TimerId, Callback> timers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_TIMER_QUEUE_H_
