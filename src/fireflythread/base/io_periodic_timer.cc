#include "fireflythread/base/io_periodic_timer.h"

#include <utility>

namespace fireflythread {

PeriodicTimer::PeriodicTimer(std::chrono::milliseconds period,
                             std::function<void()> callback)
    : function(std::move(callback)),
      source(g_timeout_add(static_cast<guint>(period.count()),
                           &PeriodicTimer::OnTimeout,
                           this)) {}

PeriodicTimer::~PeriodicTimer() {
  g_source_remove(this->source);
}

auto PeriodicTimer::OnTimeout(gpointer data) -> gboolean {
  static_cast<PeriodicTimer*>(data)->function();
  return G_SOURCE_CONTINUE;
}

}  // namespace fireflythread
