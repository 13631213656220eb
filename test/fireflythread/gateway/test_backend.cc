#include "test/fireflythread/gateway/test_backend.h"

#include <array>
#include <cstdlib>
#include <string_view>

namespace fireflythread {

struct TestBackend::Peer {
  TestBackend* backend;
  GSocketConnection* connection;
  GCancellable* cancellable;
  std::string received;
  std::array<char, 65536> buffer{};
};

namespace {

auto BodyLength(std::string_view head) -> std::size_t {
  constexpr std::string_view kName = "Content-Length: ";
  const std::size_t at = head.find(kName);
  return at == std::string_view::npos
             ? 0
             : std::strtoul(head.data() + at + kName.size(), nullptr, 10);
}

}  // namespace

auto OkReply(const std::string& body) -> std::string {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TestBackend::TestBackend(Handler request_handler)
    : handler(std::move(request_handler)),
      service(g_socket_service_new()),
      port(0) {
  g_autoptr(GSocketAddress) any =
      g_inet_socket_address_new_from_string("127.0.0.1", 0);
  GSocketAddress* bound = nullptr;
  g_socket_listener_add_address(G_SOCKET_LISTENER(this->service), any,
                                G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                nullptr, &bound, nullptr);
  this->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  g_object_unref(bound);
  g_signal_connect(this->service, "incoming", G_CALLBACK(OnIncoming), this);
  g_socket_service_start(this->service);
}

TestBackend::~TestBackend() {
  g_socket_service_stop(this->service);
  g_socket_listener_close(G_SOCKET_LISTENER(this->service));
  g_object_unref(this->service);
  for (Peer* peer : this->peers) {
    peer->backend = nullptr;
    g_cancellable_cancel(peer->cancellable);
    g_io_stream_close(G_IO_STREAM(peer->connection), nullptr, nullptr);
  }
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
}

auto TestBackend::Address() const -> std::string {
  return "127.0.0.1:" + std::to_string(this->port);
}

auto TestBackend::OnIncoming(GSocketService* /*service*/,
                             GSocketConnection* connection,
                             GObject* /*source*/,
                             gpointer data) -> gboolean {
  auto* self = static_cast<TestBackend*>(data);
  ++self->connections;
  auto* peer = new Peer{self,
                        G_SOCKET_CONNECTION(g_object_ref(connection)),
                        g_cancellable_new(),
                        {}};
  self->peers.push_back(peer);
  ReadNext(peer);
  return TRUE;
}

auto TestBackend::ReadNext(Peer* peer) -> void {
  g_input_stream_read_async(
      g_io_stream_get_input_stream(G_IO_STREAM(peer->connection)),
      peer->buffer.data(), peer->buffer.size(), G_PRIORITY_DEFAULT,
      peer->cancellable, OnBytes, peer);
}

auto TestBackend::OnBytes(GObject* source, GAsyncResult* result, gpointer data)
    -> void {
  auto* peer = static_cast<Peer*>(data);
  const gssize count =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
  if (count > 0 && peer->backend != nullptr) {
    peer->received.append(peer->buffer.data(), static_cast<std::size_t>(count));
    if (peer->backend->HandleBytes(peer)) {
      ReadNext(peer);
      return;
    }
  }
  g_io_stream_close(G_IO_STREAM(peer->connection), nullptr, nullptr);
  if (peer->backend != nullptr) {
    std::erase(peer->backend->peers, peer);
  }
  g_object_unref(peer->connection);
  g_object_unref(peer->cancellable);
  delete peer;
}

auto TestBackend::HandleBytes(Peer* peer) -> bool {
  while (true) {
    const std::size_t end = peer->received.find("\r\n\r\n");
    if (end == std::string::npos) {
      return true;
    }
    const std::size_t size =
        end + 4 + BodyLength(std::string_view(peer->received).substr(0, end));
    if (peer->received.size() < size) {
      return true;
    }
    this->requests.push_back(peer->received.substr(0, size));
    peer->received.erase(0, size);
    const Reply reply = this->handler(this->requests.back());
    if (!reply.silent) {
      g_output_stream_write_all(
          g_io_stream_get_output_stream(G_IO_STREAM(peer->connection)),
          reply.bytes.data(), reply.bytes.size(), nullptr, nullptr, nullptr);
    }
    if (reply.close) {
      return false;
    }
  }
}

}  // namespace fireflythread
