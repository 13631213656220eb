#include "fireflythread/entry/one_shot_timer.h"

#include <utility>

namespace fireflythread {

OneShotTimer::OneShotTimer(std::function<void()> on_timeout)
    : function(std::move(on_timeout)) {}

OneShotTimer::~OneShotTimer() {
  this->Cancel();
}

auto OneShotTimer::Start(std::chrono::milliseconds delay) -> void {
  if (this->source == 0) {
    this->source = g_timeout_add(static_cast<guint>(delay.count()),
                                 &OneShotTimer::OnTimeout, this);
  }
}

auto OneShotTimer::Cancel() -> void {
  if (this->source != 0) {
    g_source_remove(this->source);
    this->source = 0;
  }
}

auto OneShotTimer::OnTimeout(gpointer data) -> gboolean {
  auto* self = static_cast<OneShotTimer*>(data);
  self->source = 0;
  self->function();
  return G_SOURCE_REMOVE;
}

}  // namespace fireflythread
