#include "standin/common/http_listener.h"

#include <fmt/format.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace fireflythread::standin {
namespace {

auto AddressPort(GSocketAddress* address) -> int {
  return address != nullptr
             ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address))
             : 0;
}

}  // namespace

HttpListener::HttpListener(std::string listen_host,
                           int listen_port,
                           Handler on_request)
    : host(std::move(listen_host)),
      port(listen_port),
      handler(std::move(on_request)),
      server(soup_server_new("raw-paths", TRUE, nullptr)) {
  soup_server_add_handler(
      this->server, nullptr,
      +[](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
          gpointer data) -> void {
        auto* self = static_cast<HttpListener*>(data);
        auto exchange = std::make_shared<HttpExchange>(message);
        if (self->IsSilent(*exchange)) {
          exchange->GoSilent();
        } else {
          self->handler(std::move(exchange));
        }
      },
      this, nullptr);
  // libsoup keeps connections alive only while the server has a listener of its
  // own, so it gets one that nothing uses.
  soup_server_listen_local(this->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                           nullptr);
  g_signal_connect(
      this->server, "request-read",
      G_CALLBACK(+[](SoupServer*, SoupServerMessage* message,
                     HttpListener* self) -> void {
        self->SetBusy(message, true);
        const auto idle =
            +[](SoupServerMessage* ended, HttpListener* listener) -> void {
          listener->SetBusy(ended, false);
        };
        g_signal_connect(message, "finished", G_CALLBACK(idle), self);
        g_signal_connect(message, "disconnected", G_CALLBACK(idle), self);
      }),
      this);
  this->KeepPort();
  this->Open();
}

HttpListener::~HttpListener() {
  this->Shut();
  while (!this->connections.empty()) {
    this->CloseConnection(this->connections.begin()->first);
  }
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
  g_object_unref(this->port_keeper);
}

auto HttpListener::Address() const -> std::string {
  return fmt::format("{}:{}", this->host, this->port);
}

auto HttpListener::Connections() const -> int {
  return static_cast<int>(this->connections.size());
}

auto HttpListener::KeepPort() -> void {
  this->port_keeper = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress* wanted = g_inet_socket_address_new_from_string(
      this->host.c_str(), static_cast<guint>(this->port));
  GError* error = nullptr;
  if (this->port_keeper == nullptr || wanted == nullptr ||
      g_socket_bind(this->port_keeper, wanted, TRUE, &error) == FALSE) {
    fmt::print(stderr, "cannot bind {}: {}\n", this->Address(),
               error != nullptr ? error->message : "not an address");
    std::exit(1);
  }
  GSocketAddress* bound =
      g_socket_get_local_address(this->port_keeper, nullptr);
  this->port = AddressPort(bound);
  g_object_unref(bound);
  g_object_unref(wanted);
}

auto HttpListener::Open() -> void {
  if (this->service != nullptr) {
    return;
  }
  this->service = g_socket_service_new();
  g_socket_listener_set_backlog(G_SOCKET_LISTENER(this->service), SOMAXCONN);
  GSocketAddress* wanted = g_inet_socket_address_new_from_string(
      this->host.c_str(), static_cast<guint>(this->port));
  GSocketAddress* effective = nullptr;
  GError* error = nullptr;
  if (wanted == nullptr ||
      g_socket_listener_add_address(G_SOCKET_LISTENER(this->service), wanted,
                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                    nullptr, &effective, &error) == FALSE) {
    fmt::print(stderr, "cannot listen on {}: {}\n", this->Address(),
               error != nullptr ? error->message : "not an address");
    std::exit(1);
  }
  this->port = AddressPort(effective);
  g_object_unref(effective);
  g_object_unref(wanted);
  g_signal_connect(
      this->service, "incoming",
      G_CALLBACK(+[](GSocketService*, GSocketConnection* connection, GObject*,
                     HttpListener* self) -> gboolean {
        self->Accept(connection);
        return TRUE;
      }),
      this);
  g_socket_service_start(this->service);
}

auto HttpListener::Accept(GSocketConnection* connection) -> void {
  const int open = this->Connections();
  if (this->max_connections > 0 && open >= this->max_connections) {
    ++this->refused;
    g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
    return;
  }
  GSocketAddress* local =
      g_socket_connection_get_local_address(connection, nullptr);
  GSocketAddress* remote =
      g_socket_connection_get_remote_address(connection, nullptr);
  if (local != nullptr && remote != nullptr) {
    g_socket_set_option(g_socket_connection_get_socket(connection), IPPROTO_TCP,
                        TCP_NODELAY, 1, nullptr);
    const int client_port = AddressPort(remote);
    this->silent_ports.erase(client_port);
    this->connections[G_OBJECT(connection)] = {.client_port = client_port};
    this->WatchHangup(G_OBJECT(connection));
    this->peak = std::max(this->peak, open + 1);
    g_object_weak_ref(G_OBJECT(connection), Forget, this);
    soup_server_accept_iostream(this->server, G_IO_STREAM(connection), local,
                                remote, nullptr);
  }
  g_clear_object(&local);
  g_clear_object(&remote);
}

auto HttpListener::Forget(gpointer data, GObject* connection) -> void {
  auto* self = static_cast<HttpListener*>(data);
  const auto found = self->connections.find(connection);
  if (found != self->connections.end()) {
    self->silent_ports.erase(found->second.client_port);
    g_source_destroy(found->second.watch);
    g_source_unref(found->second.watch);
    self->connections.erase(found);
  }
}

auto HttpListener::SetBusy(SoupServerMessage* message, bool busy) -> void {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  const int client_port = remote == nullptr ? 0 : AddressPort(remote);
  for (auto& [object, connection] : this->connections) {
    if (connection.client_port == client_port) {
      connection.busy = busy;
      if (!busy && connection.client_closed) {
        this->CloseConnection(object);
      }
      return;
    }
  }
}

auto HttpListener::WatchHangup(GObject* object) -> void {
  // libsoup 3.2 does not close its own end when the client closes a connection
  // that had a request before. The worker of a request that still runs notices
  // the closed connection only when it answers.
  GSource* watch = g_unix_fd_source_new(
      g_socket_get_fd(
          g_socket_connection_get_socket(G_SOCKET_CONNECTION(object))),
      static_cast<GIOCondition>(POLLRDHUP));
  struct Hangup {
    HttpListener* listener;
    GObject* object;
  };
  const auto handle = +[](gint, GIOCondition, gpointer data) -> gboolean {
    const Hangup hangup = *static_cast<Hangup*>(data);
    Connection& connection = hangup.listener->connections.at(hangup.object);
    connection.client_closed = true;
    g_source_destroy(connection.watch);
    if (!connection.busy) {
      hangup.listener->CloseConnection(hangup.object);
    }
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(
      watch, G_SOURCE_FUNC(handle), new Hangup{this, object},
      +[](gpointer data) -> void { delete static_cast<Hangup*>(data); });
  g_source_attach(watch, nullptr);
  this->connections.at(object).watch = watch;
}

auto HttpListener::CloseConnection(GObject* object) -> void {
  g_object_weak_unref(object, Forget, this);
  Forget(this, object);
  g_io_stream_close(G_IO_STREAM(object), nullptr, nullptr);
}

auto HttpListener::Shut() -> void {
  if (this->service != nullptr) {
    g_signal_handlers_disconnect_by_data(this->service, this);
    g_socket_service_stop(this->service);
    g_socket_listener_close(G_SOCKET_LISTENER(this->service));
    g_clear_object(&this->service);
  }
  for (const auto& [object, connection] : this->connections) {
    // The HTTP server sees the end of the stream and releases the connection.
    g_socket_shutdown(
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(object)), TRUE, TRUE,
        nullptr);
  }
}

auto HttpListener::SilenceEstablished() -> void {
  for (const auto& [object, connection] : this->connections) {
    this->silent_ports.insert(connection.client_port);
  }
}

auto HttpListener::IsSilent(const HttpExchange& exchange) const -> bool {
  return this->silent_ports.contains(exchange.ClientPort());
}

}  // namespace fireflythread::standin
