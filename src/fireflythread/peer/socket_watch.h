#ifndef FIREFLYTHREAD_PEER_SOCKET_WATCH_H_
#define FIREFLYTHREAD_PEER_SOCKET_WATCH_H_

#include <glib.h>

#include <functional>
#include <zmq.hpp>

namespace fireflythread {

/// Runs a callback on a GLib main context whenever a ZeroMQ socket has
/// something to receive. The descriptor behind ZMQ_FD signals changes, not
/// states, so the watch receives until the socket is empty; after a batch it
/// lets other sources run first.
class SocketWatch {
 public:
  /// Receives one message without blocking; false when there was none.
  using ReceiveOne = std::function<bool()>;

  SocketWatch(GMainContext* context,
              zmq::socket_ref socket,
              ReceiveOne receive_one);
  ~SocketWatch();
  SocketWatch(const SocketWatch&) = delete;
  auto operator=(const SocketWatch&) -> SocketWatch& = delete;

 private:
  static auto OnReadable(gint descriptor, GIOCondition events, gpointer data)
      -> gboolean;
  static auto OnIdle(gpointer data) -> gboolean;
  auto Drain() -> void;
  auto ScheduleIdle() -> void;

  GMainContext* context;
  zmq::socket_ref socket;
  ReceiveOne receive_one;
  GSource* readable = nullptr;
  GSource* idle = nullptr;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_SOCKET_WATCH_H_
