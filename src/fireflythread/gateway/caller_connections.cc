#include "fireflythread/gateway/caller_connections.h"

#include <memory>

namespace fireflythread {
namespace {

/// A connection without a request is closed after this time. It is far above
/// the reuse intervals of load balancers, which would otherwise meet a closing
/// connection.
constexpr std::chrono::milliseconds kIdleLimit{75'000};

auto CloseConnection(GSocket* socket) -> void {
  g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

}  // namespace

struct CallerConnections::Timer {
  CallerConnections* owner;
  GSocket* socket;
};

CallerConnections::CallerConnections(std::size_t limit, Duration timeout)
    : max_connections(limit), receive_timeout(timeout) {}

CallerConnections::~CallerConnections() {
  for (const auto& [socket, source] : this->connections) {
    g_object_weak_unref(G_OBJECT(socket), &CallerConnections::OnReleased, this);
    if (source != 0) {
      g_source_remove(source);
    }
  }
}

auto CallerConnections::Watch(SoupServer* server) -> void {
  g_signal_connect(server, "request-started", G_CALLBACK(OnStarted), this);
  g_signal_connect(server, "request-finished", G_CALLBACK(OnEnded), this);
  g_signal_connect(server, "request-aborted", G_CALLBACK(OnEnded), this);
}

auto CallerConnections::HeadersReceived(SoupServerMessage* message) -> void {
  this->SetTimer(soup_server_message_get_socket(message),
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     this->receive_timeout));
}

auto CallerConnections::RequestReceived(SoupServerMessage* message) -> void {
  this->ClearTimer(soup_server_message_get_socket(message));
}

auto CallerConnections::OnStarted(SoupServer* /*server*/,
                                  SoupServerMessage* message,
                                  gpointer data) -> void {
  auto* self = static_cast<CallerConnections*>(data);
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) {
    return;
  }
  if (!self->connections.contains(socket)) {
    if (self->connections.size() >= self->max_connections) {
      CloseConnection(socket);
      return;
    }
    self->connections[socket] = 0;
    g_object_weak_ref(G_OBJECT(socket), &CallerConnections::OnReleased, self);
  }
  self->SetTimer(socket, kIdleLimit);
}

auto CallerConnections::OnEnded(SoupServer* /*server*/,
                                SoupServerMessage* message,
                                gpointer data) -> void {
  static_cast<CallerConnections*>(data)->SetTimer(
      soup_server_message_get_socket(message), kIdleLimit);
}

auto CallerConnections::OnReleased(gpointer data, GObject* socket) -> void {
  auto* self = static_cast<CallerConnections*>(data);
  // The object is being finalized; its address is only used as a key.
  auto* key = reinterpret_cast<GSocket*>(socket);
  self->ClearTimer(key);
  self->connections.erase(key);
}

auto CallerConnections::OnTimeout(gpointer data) -> gboolean {
  auto* timer = static_cast<Timer*>(data);
  timer->owner->connections[timer->socket] = 0;
  CloseConnection(timer->socket);
  return G_SOURCE_REMOVE;
}

auto CallerConnections::SetTimer(GSocket* socket,
                                 std::chrono::milliseconds limit) -> void {
  this->ClearTimer(socket);
  const auto found = this->connections.find(socket);
  if (found == this->connections.end()) {
    return;
  }
  found->second = g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(limit.count()),
      &CallerConnections::OnTimeout, new Timer{this, socket},
      [](gpointer data) { delete static_cast<Timer*>(data); });
}

auto CallerConnections::ClearTimer(GSocket* socket) -> void {
  const auto found = this->connections.find(socket);
  if (found != this->connections.end() && found->second != 0) {
    g_source_remove(found->second);
    found->second = 0;
  }
}

}  // namespace fireflythread
