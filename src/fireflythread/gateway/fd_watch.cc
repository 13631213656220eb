#include "fireflythread/gateway/fd_watch.h"

#include <glib-unix.h>

#include <utility>

namespace fireflythread {

namespace {

auto RunCallback(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
    -> gboolean {
  (*static_cast<FdWatch::Callback*>(data))();
  return G_SOURCE_CONTINUE;
}

auto DeleteCallback(gpointer data) -> void {
  delete static_cast<FdWatch::Callback*>(data);
}

}  // namespace

FdWatch::FdWatch(int descriptor, GIOCondition condition, Callback callback)
    : source(g_unix_fd_source_new(descriptor, condition)) {
  // GLib passes the callback as an untyped function of the source's own type.
  g_source_set_callback(this->source, G_SOURCE_FUNC(RunCallback),
                        new Callback(std::move(callback)), DeleteCallback);
  g_source_attach(this->source, g_main_context_get_thread_default());
}

FdWatch::~FdWatch() {
  this->Stop();
}

FdWatch::FdWatch(FdWatch&& other) noexcept
    : source(std::exchange(other.source, nullptr)) {}

auto FdWatch::operator=(FdWatch&& other) noexcept -> FdWatch& {
  if (this != &other) {
    this->Stop();
    this->source = std::exchange(other.source, nullptr);
  }
  return *this;
}

auto FdWatch::Stop() -> void {
  GSource* stopped = std::exchange(this->source, nullptr);
  if (stopped != nullptr) {
    g_source_destroy(stopped);
    g_source_unref(stopped);
  }
}

}  // namespace fireflythread
