#include "fireflythread/admin/connection_guard.h"

#include <string_view>

#include "fireflythread/admin/g_ptr.h"

namespace fireflythread::admin::internal {
namespace {

// Connections above the limit that still get an answer. Few, since each holds
// a file descriptor.
constexpr int kRefusedConnections = 16;

constexpr std::string_view kTimeoutBody =
    "{\"error\":{\"code\":\"request_timeout\",\"message\":\"the request was "
    "not received in time\"}}\n";
constexpr std::string_view kTimeoutHead =
    "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
    "Connection: close\r\nContent-Length: ";

auto TimeoutResponse() -> std::string {
  return std::string(kTimeoutHead) + std::to_string(kTimeoutBody.size()) +
         "\r\n\r\n" + std::string(kTimeoutBody);
}

}  // namespace

struct ConnectionGuard::Connection {
  ConnectionGuard* guard = nullptr;
  GPtr<GSocketAddress> remote;
  GPtr<GSocket> socket;
  GIOStream* stream = nullptr;
  // The response to a slow client goes past libsoup, so not into a TLS stream
  // and not into the middle of another response.
  bool may_send_timeout = false;
  bool is_refused = false;
  guint timer = 0;

  auto StopTimer() -> void {
    if (this->timer != 0) {
      g_source_remove(this->timer);
      this->timer = 0;
    }
  }

  auto StartTimer(Duration timeout) -> void {
    this->StopTimer();
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    this->timer = g_timeout_add(static_cast<guint>(wait.count()),
                                &ConnectionGuard::OnTimeout, this);
  }
};

ConnectionGuard::ConnectionGuard(int connection_limit, Duration timeout)
    : max_connections(connection_limit), receive_timeout(timeout) {}

ConnectionGuard::~ConnectionGuard() {
  this->CloseAll();
  for (const auto& [remote, connection] : this->connections) {
    connection->StopTimer();
    g_object_weak_unref(G_OBJECT(connection->stream),
                        &ConnectionGuard::OnReleased, connection.get());
  }
}

auto ConnectionGuard::Add(GSocketAddress* remote,
                          GIOStream* stream,
                          GSocket* socket) -> Verdict {
  const int open = static_cast<int>(this->connections.size());
  if (open >= this->max_connections + kRefusedConnections) {
    return Verdict::kClose;
  }
  auto connection = std::make_unique<Connection>();
  connection->guard = this;
  connection->remote = AddRef(remote);
  connection->socket = AddRef(socket);
  connection->stream = stream;
  connection->may_send_timeout = G_IS_SOCKET_CONNECTION(stream);
  connection->is_refused = open >= this->max_connections;
  connection->StartTimer(this->receive_timeout);
  g_object_weak_ref(G_OBJECT(stream), &ConnectionGuard::OnReleased,
                    connection.get());
  const Verdict verdict =
      connection->is_refused ? Verdict::kRefuse : Verdict::kServe;
  this->connections[remote] = std::move(connection);
  return verdict;
}

auto ConnectionGuard::IsRefused(GSocketAddress* remote) const -> bool {
  const auto found = this->connections.find(remote);
  return found != this->connections.end() && found->second->is_refused;
}

auto ConnectionGuard::RequestReceived(GSocketAddress* remote) -> void {
  const auto found = this->connections.find(remote);
  if (found != this->connections.end()) {
    found->second->StopTimer();
  }
}

auto ConnectionGuard::ResponseStarted(GSocketAddress* remote) -> void {
  const auto found = this->connections.find(remote);
  if (found != this->connections.end()) {
    found->second->may_send_timeout = false;
    found->second->StartTimer(this->receive_timeout);
  }
}

auto ConnectionGuard::CloseAll() -> void {
  for (const auto& [remote, connection] : this->connections) {
    g_socket_shutdown(connection->socket.get(), TRUE, TRUE, nullptr);
  }
}

auto ConnectionGuard::OnReleased(gpointer data, GObject* /*stream*/) -> void {
  auto* connection = static_cast<Connection*>(data);
  connection->StopTimer();
  connection->guard->connections.erase(connection->remote.get());
}

auto ConnectionGuard::OnTimeout(gpointer data) -> gboolean {
  auto* connection = static_cast<Connection*>(data);
  connection->timer = 0;
  if (connection->may_send_timeout) {
    // Nothing else has been written for this request, and the buffer of a
    // connection that only received is empty, so this does not block.
    const std::string response = TimeoutResponse();
    g_socket_send_with_blocking(connection->socket.get(), response.data(),
                                response.size(), FALSE, nullptr, nullptr);
  }
  // libsoup sees the end of the stream and releases it.
  g_socket_shutdown(connection->socket.get(), TRUE, TRUE, nullptr);
  return G_SOURCE_REMOVE;
}

}  // namespace fireflythread::admin::internal
