#ifndef FIREFLYTHREAD_GATEWAY_CALLER_CONNECTIONS_H_
#define FIREFLYTHREAD_GATEWAY_CALLER_CONNECTIONS_H_

#include <libsoup/soup.h>

#include <chrono>
#include <cstddef>
#include <map>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Bounds what callers' connections may hold. A connection above the limit is
/// closed. One whose body does not arrive in time, or that stays idle, is
/// closed too. A connection is known by its socket, from the start of its first
/// request until libsoup lets the socket go.
class CallerConnections {
 public:
  CallerConnections(std::size_t max_connections, Duration receive_timeout);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  auto operator=(const CallerConnections&) -> CallerConnections& = delete;

  /// Watches a server's connections. The server must not outlive this object's
  /// last use.
  auto Watch(SoupServer* server) -> void;

  /// The request's headers have arrived; its body has to follow in time.
  auto HeadersReceived(SoupServerMessage* message) -> void;
  /// The whole request has arrived; its handling takes as long as it takes.
  auto RequestReceived(SoupServerMessage* message) -> void;

 private:
  struct Timer;

  static auto OnStarted(SoupServer* server,
                        SoupServerMessage* message,
                        gpointer self) -> void;
  static auto OnEnded(SoupServer* server,
                      SoupServerMessage* message,
                      gpointer self) -> void;
  static auto OnReleased(gpointer self, GObject* socket) -> void;
  static auto OnTimeout(gpointer data) -> gboolean;
  auto SetTimer(GSocket* socket, std::chrono::milliseconds limit) -> void;
  auto ClearTimer(GSocket* socket) -> void;

  std::size_t max_connections;
  Duration receive_timeout;
  /// The source id of each open connection's timer, 0 when it has none.
  std::map<GSocket*, guint> connections;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CALLER_CONNECTIONS_H_
