#include "test/platform/slow_server.h"

#include <utility>

namespace fireflythread::test {

SlowServer::SlowServer(std::string answer, std::size_t bytes_to_send)
    : body(std::move(answer)),
      bytes(bytes_to_send),
      service(g_socket_service_new()) {
  this->port = g_socket_listener_add_any_inet_port(
      G_SOCKET_LISTENER(this->service), nullptr, nullptr);
  g_signal_connect(this->service, "incoming",
                   G_CALLBACK(&SlowServer::OnIncoming), this);
  g_socket_service_start(this->service);
}

SlowServer::~SlowServer() {
  if (this->timer != 0) {
    g_source_remove(this->timer);
  }
  g_clear_object(&this->connection);
  g_socket_service_stop(this->service);
  g_object_unref(this->service);
}

auto SlowServer::Address() const -> std::string {
  return "127.0.0.1:" + std::to_string(this->port);
}

auto SlowServer::OnIncoming(GSocketService* /*service*/,
                            GSocketConnection* accepted,
                            GObject* /*source*/,
                            gpointer data) -> gboolean {
  auto* self = static_cast<SlowServer*>(data);
  g_clear_object(&self->connection);
  self->connection = G_SOCKET_CONNECTION(g_object_ref(accepted));
  self->sent = 0;
  self->Write("HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string(self->body.size()) + "\r\n\r\n");
  if (self->timer == 0) {
    self->timer = g_timeout_add(static_cast<guint>(kPartInterval.count()),
                                &SlowServer::SendNextPart, self);
  }
  return TRUE;
}

auto SlowServer::SendNextPart(gpointer data) -> gboolean {
  auto* self = static_cast<SlowServer*>(data);
  if (self->sent == self->bytes) {
    self->timer = 0;
    return G_SOURCE_REMOVE;
  }
  self->Write(self->body.substr(self->sent, 1));
  ++self->sent;
  return G_SOURCE_CONTINUE;
}

auto SlowServer::Write(const std::string& text) -> void {
  g_output_stream_write_all(
      g_io_stream_get_output_stream(G_IO_STREAM(this->connection)), text.data(),
      text.size(), nullptr, nullptr, nullptr);
}

}  // namespace fireflythread::test
