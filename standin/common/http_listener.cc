#include "standin/common/http_listener.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

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
  this->Open();
}

HttpListener::~HttpListener() {
  this->Shut();
  for (const auto& [connection, client_port] : this->connections) {
    g_object_weak_unref(connection, Forget, this);
  }
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
}

auto HttpListener::Address() const -> std::string {
  return fmt::format("{}:{}", this->host, this->port);
}

auto HttpListener::Connections() const -> int {
  return static_cast<int>(this->connections.size());
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
    this->connections[G_OBJECT(connection)] = client_port;
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
    self->silent_ports.erase(found->second);
    self->connections.erase(found);
  }
}

auto HttpListener::Shut() -> void {
  if (this->service != nullptr) {
    g_signal_handlers_disconnect_by_data(this->service, this);
    g_socket_service_stop(this->service);
    g_socket_listener_close(G_SOCKET_LISTENER(this->service));
    g_clear_object(&this->service);
  }
  for (const auto& [connection, client_port] : this->connections) {
    // The HTTP server sees the end of the stream and releases the connection.
    g_socket_shutdown(
        g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection)), TRUE,
        TRUE, nullptr);
  }
}

auto HttpListener::SilenceEstablished() -> void {
  for (const auto& [connection, client_port] : this->connections) {
    this->silent_ports.insert(client_port);
  }
}

auto HttpListener::IsSilent(const HttpExchange& exchange) const -> bool {
  return this->silent_ports.contains(exchange.ClientPort());
}

}  // namespace fireflythread::standin
