#ifndef FIREFLYTHREAD_BENCH_COMMON_VIRTUAL_QUEUE_H_
#define FIREFLYTHREAD_BENCH_COMMON_VIRTUAL_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Events on virtual time, run in order of time and, at equal times, of
/// planning.
class VirtualQueue {
 public:
  [[nodiscard]] auto Now() const -> TimePoint { return this->now; }

  auto RunAfter(Duration wait, std::function<void()> work) -> void {
    this->events.emplace(std::pair(this->now + wait, this->next++),
                         std::move(work));
  }

  /// Runs the events up to `end`.
  auto RunUntil(TimePoint end) -> void {
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key().first;
      event.mapped()();
    }
    this->now = end;
  }

 private:
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t next = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BENCH_COMMON_VIRTUAL_QUEUE_H_
