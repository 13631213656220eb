#include "standin/common/main_loop.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

namespace fireflythread::standin {
namespace {

using Action = std::function<void()>;

auto MainLoop() -> GMainLoop* {
  static GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
  return loop;
}

auto DeleteAction(gpointer data) -> void {
  delete static_cast<Action*>(data);
}

}  // namespace

auto RunMainLoop() -> void {
  const auto quit = +[](gpointer) -> gboolean {
    QuitMainLoop();
    return G_SOURCE_REMOVE;
  };
  g_unix_signal_add(SIGTERM, quit, nullptr);
  g_unix_signal_add(SIGINT, quit, nullptr);
  g_main_loop_run(MainLoop());
}

auto QuitMainLoop() -> void {
  g_main_loop_quit(MainLoop());
}

auto RunLater(std::chrono::milliseconds delay, Action action) -> void {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()),
      +[](gpointer data) -> gboolean {
        (*static_cast<Action*>(data))();
        return G_SOURCE_REMOVE;
      },
      new Action(std::move(action)), DeleteAction);
}

auto RunEvery(std::chrono::milliseconds interval, Action action) -> void {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(interval.count()),
      +[](gpointer data) -> gboolean {
        (*static_cast<Action*>(data))();
        return G_SOURCE_CONTINUE;
      },
      new Action(std::move(action)), DeleteAction);
}

}  // namespace fireflythread::standin
