#include "fireflythread/gateway/caller_connections.h"

#include <memory>

namespace fireflythread {
namespace {

/// A connection without a request is closed after this time. It is far above
/// the reuse intervals of load balancers, which would otherwise meet a closing
/// connection.
constexpr std::chrono::milliseconds kIdleLimit{75'000};

auto CloseConnection(SoupServerMessage* message) -> void {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
}

}  // namespace

struct CallerConnections::Timer {
  CallerConnections* owner;
  SoupServerMessage* message;
};

CallerConnections::CallerConnections(std::size_t limit, Duration timeout)
    : max_connections(limit), receive_timeout(timeout) {}

CallerConnections::~CallerConnections() {
  for (const auto& [message, source] : this->connections) {
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
  this->SetTimer(message, std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->receive_timeout));
}

auto CallerConnections::RequestReceived(SoupServerMessage* message) -> void {
  this->ClearTimer(message);
}

auto CallerConnections::OnStarted(SoupServer* /*server*/,
                                  SoupServerMessage* message,
                                  gpointer data) -> void {
  auto* self = static_cast<CallerConnections*>(data);
  if (self->connections.size() >= self->max_connections) {
    CloseConnection(message);
    return;
  }
  self->SetTimer(message, kIdleLimit);
}

auto CallerConnections::OnEnded(SoupServer* /*server*/,
                                SoupServerMessage* message,
                                gpointer data) -> void {
  auto* self = static_cast<CallerConnections*>(data);
  self->ClearTimer(message);
  self->connections.erase(message);
}

auto CallerConnections::OnTimeout(gpointer data) -> gboolean {
  auto* timer = static_cast<Timer*>(data);
  timer->owner->connections[timer->message] = 0;
  CloseConnection(timer->message);
  return G_SOURCE_REMOVE;
}

auto CallerConnections::SetTimer(SoupServerMessage* message,
                                 std::chrono::milliseconds limit) -> void {
  this->ClearTimer(message);
  this->connections[message] = g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(limit.count()),
      &CallerConnections::OnTimeout, new Timer{this, message},
      [](gpointer data) { delete static_cast<Timer*>(data); });
}

auto CallerConnections::ClearTimer(SoupServerMessage* message) -> void {
  const auto found = this->connections.find(message);
  if (found != this->connections.end() && found->second != 0) {
    g_source_remove(found->second);
    found->second = 0;
  }
}

}  // namespace fireflythread
