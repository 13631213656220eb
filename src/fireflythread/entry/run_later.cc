#include "fireflythread/entry/run_later.h"

#include <glib.h>

#include <utility>

namespace fireflythread {

auto RunLater(std::chrono::milliseconds delay, std::function<void()> function)
    -> void {
  g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()),
      +[](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(function)),
      +[](gpointer data) -> void {
        delete static_cast<std::function<void()>*>(data);
      });
}

}  // namespace fireflythread
