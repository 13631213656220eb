#include "fireflythread/gateway/timer_queue.h"

#include <algorithm>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

struct TimerSource {
  GSource base;
  TimerQueue* queue;
};

auto Dispatch(GSource* source, GSourceFunc /*unused*/, gpointer /*unused*/)
    -> gboolean {
  reinterpret_cast<TimerSource*>(source)->queue->RunDue(ReadBootClock());
  return G_SOURCE_CONTINUE;
}

GSourceFuncs timer_functions = {nullptr, nullptr, Dispatch,
                                nullptr, nullptr, nullptr};

}  // namespace

TimerQueue::TimerQueue()
    : source(g_source_new(&timer_functions, sizeof(TimerSource))) {
  reinterpret_cast<TimerSource*>(this->source)->queue = this;
  g_source_attach(this->source, g_main_context_get_thread_default());
}

TimerQueue::~TimerQueue() {
  g_source_destroy(this->source);
  g_source_unref(this->source);
}

auto TimerQueue::RunAt(TimePoint at, Callback callback) -> TimerId {
  const TimerId id{at, this->next_number++};
  this->timers.emplace(id, std::move(callback));
  if (at < this->ready_at) {
    this->SetReadyTime();
  }
  return id;
}

auto TimerQueue::Cancel(const TimerId& id) -> void {
  // The source may wake once too often; RunDue then finds nothing to run.
  this->timers.erase(id);
}

auto TimerQueue::RunDue(TimePoint now) -> void {
  while (!this->timers.empty() && this->timers.begin()->first.at <= now) {
    auto due = this->timers.extract(this->timers.begin());
    due.mapped()();
  }
  this->SetReadyTime();
}

auto TimerQueue::SetReadyTime() -> void {
  if (this->timers.empty()) {
    this->ready_at = TimePoint::max();
    g_source_set_ready_time(this->source, -1);
    return;
  }
  this->ready_at = this->timers.begin()->first.at;
  const auto wait = std::chrono::ceil<std::chrono::microseconds>(
      std::max(Duration::zero(), Duration(this->ready_at - ReadBootClock())));
  g_source_set_ready_time(this->source, g_get_monotonic_time() + wait.count());
}

}  // namespace fireflythread
