#ifndef FIREFLYTHREAD_ADMIN_CONNECTION_GUARD_H_
#define FIREFLYTHREAD_ADMIN_CONNECTION_GUARD_H_

#include <gio/gio.h>

#include <map>
#include <memory>

#include "fireflythread/base/time.h"

namespace fireflythread::admin::internal {

/// Counts the open connections of a listener and closes those whose client
/// takes too long to send its request or to read the response. libsoup limits
/// neither. A connection is known by the address object that is handed to
/// libsoup with it, and carries one request.
class ConnectionGuard {
 public:
  enum class Verdict {
    /// Within the limit.
    kServe,
    /// Above the limit; its request is to be refused.
    kRefuse,
    /// So far above the limit that it is closed without an answer.
    kClose
  };

  ConnectionGuard(int max_connections, Duration receive_timeout);
  ~ConnectionGuard();
  ConnectionGuard(const ConnectionGuard&) = delete;
  auto operator=(const ConnectionGuard&) -> ConnectionGuard& = delete;

  /// Watches `stream`, which carries `socket`, until it is released. A new
  /// connection has to send a request within the receive timeout.
  auto Add(GSocketAddress* remote, GIOStream* stream, GSocket* socket)
      -> Verdict;

  /// Whether requests on the connection are to be refused.
  [[nodiscard]] auto IsRefused(GSocketAddress* remote) const -> bool;

  /// The request has been received; its handling takes as long as it takes.
  auto RequestReceived(GSocketAddress* remote) -> void;

  /// The client has the receive timeout from now on to read the response.
  auto ResponseStarted(GSocketAddress* remote) -> void;

  /// Shuts all connections down.
  auto CloseAll() -> void;

 private:
  struct Connection;

  static auto OnReleased(gpointer data, GObject* stream) -> void;
  static auto OnTimeout(gpointer data) -> gboolean;

  int max_connections;
  Duration receive_timeout;
  std::map<GSocketAddress*, std::unique_ptr<Connection>> connections;
};

}  // namespace fireflythread::admin::internal

#endif  // FIREFLYTHREAD_ADMIN_CONNECTION_GUARD_H_
