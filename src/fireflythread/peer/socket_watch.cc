#include "fireflythread/peer/socket_watch.h"

#include <glib-unix.h>

#include <utility>

namespace fireflythread {

namespace {

/// Messages handled before other sources of the main loop get a turn.
constexpr int kBatch = 64;

}  // namespace

SocketWatch::SocketWatch(GMainContext* main_context,
                         zmq::socket_ref watched,
                         ReceiveOne receive)
    : context(main_context), socket(watched), receive_one(std::move(receive)) {
  this->readable =
      g_unix_fd_source_new(this->socket.get(zmq::sockopt::fd), G_IO_IN);
  // g_source_set_callback takes every callback as a GSourceFunc.
  g_source_set_callback(this->readable, G_SOURCE_FUNC(&SocketWatch::OnReadable),
                        this, nullptr);
  g_source_attach(this->readable, this->context);
  // Messages that arrived before the watch began cause no further signal.
  this->ScheduleIdle();
}

SocketWatch::~SocketWatch() {
  for (GSource* source : {this->readable, this->idle}) {
    if (source != nullptr) {
      g_source_destroy(source);
      g_source_unref(source);
    }
  }
}

auto SocketWatch::OnReadable(gint /*descriptor*/,
                             GIOCondition /*events*/,
                             gpointer data) -> gboolean {
  static_cast<SocketWatch*>(data)->Drain();
  return G_SOURCE_CONTINUE;
}

auto SocketWatch::OnIdle(gpointer data) -> gboolean {
  auto* watch = static_cast<SocketWatch*>(data);
  g_source_unref(watch->idle);
  watch->idle = nullptr;
  watch->Drain();
  return G_SOURCE_REMOVE;
}

auto SocketWatch::Drain() -> void {
  for (int received = 0; received < kBatch; ++received) {
    if (!this->receive_one()) {
      return;
    }
  }
  this->ScheduleIdle();
}

auto SocketWatch::ScheduleIdle() -> void {
  if (this->idle != nullptr) {
    return;
  }
  this->idle = g_idle_source_new();
  g_source_set_priority(this->idle, G_PRIORITY_DEFAULT);
  g_source_set_callback(this->idle, &SocketWatch::OnIdle, this, nullptr);
  g_source_attach(this->idle, this->context);
}

}  // namespace fireflythread
