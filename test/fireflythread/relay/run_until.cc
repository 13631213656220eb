#include "test/fireflythread/relay/run_until.h"

#include <glib.h>

#include <chrono>

#include "fireflythread/base/io_clock.h"

namespace fireflythread::test {
namespace {

constexpr Duration kMaxWait = std::chrono::seconds(20);

/// Period at which the main loop wakes up to check `done` again.
constexpr guint kPeriodMs = 20;

}  // namespace

auto RunUntil(const std::function<bool()>& done,
              const std::function<void()>& action) -> bool {
  const TimePoint deadline = ReadBootClock() + kMaxWait;
  const guint tick = g_timeout_add(
      kPeriodMs, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
      nullptr);
  while (!done() && ReadBootClock() < deadline) {
    action();
    g_main_context_iteration(nullptr, TRUE);
  }
  g_source_remove(tick);
  return done();
}

}  // namespace fireflythread::test
