#include "bench/common/pass_through.h"

#include <memory>

namespace fireflythread {

namespace {

struct Call {
  SoupServerMessage* incoming;
  SoupMessage* outgoing;
};

auto CopyHeader(const char* name, const char* value, gpointer to) -> void {
  if (g_ascii_strcasecmp(name, "Host") != 0 &&
      g_ascii_strcasecmp(name, "Connection") != 0 &&
      g_ascii_strcasecmp(name, "Content-Length") != 0) {
    soup_message_headers_append(static_cast<SoupMessageHeaders*>(to), name,
                                value);
  }
}

}  // namespace

PassThrough::PassThrough(std::uint16_t backend_port, int connections)
    : server(soup_server_new(nullptr, nullptr)),
      session(soup_session_new_with_options("max-conns",
                                            connections,
                                            "max-conns-per-host",
                                            connections,
                                            nullptr)),
      backend("http://127.0.0.1:" + std::to_string(backend_port)) {
  soup_server_add_handler(this->server, nullptr, OnRequest, this, nullptr);
  soup_server_listen_local(this->server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                           nullptr);
}

PassThrough::~PassThrough() {
  soup_session_abort(this->session);
  soup_server_disconnect(this->server);
  g_object_unref(this->session);
  g_object_unref(this->server);
}

auto PassThrough::Port() const -> std::uint16_t {
  GSList* uris = soup_server_get_uris(this->server);
  const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(port);
}

auto PassThrough::OnRequest(SoupServer* /*server*/,
                            SoupServerMessage* message,
                            const char* path,
                            GHashTable* /*query*/,
                            gpointer data) -> void {
  auto* self = static_cast<PassThrough*>(data);
  const std::string uri = self->backend + path;
  auto call = std::make_unique<Call>();
  call->incoming = g_object_ref(message);
  call->outgoing =
      soup_message_new(soup_server_message_get_method(message), uri.c_str());
  soup_message_headers_foreach(
      soup_server_message_get_request_headers(message), CopyHeader,
      soup_message_get_request_headers(call->outgoing));
  soup_server_message_pause(message);
  SoupMessage* outgoing = call->outgoing;
  soup_session_send_and_read_async(self->session, outgoing, G_PRIORITY_DEFAULT,
                                   nullptr, OnAnswer, call.release());
}

auto PassThrough::OnAnswer(GObject* session,
                           GAsyncResult* result,
                           gpointer data) -> void {
  const std::unique_ptr<Call> call(static_cast<Call*>(data));
  g_autoptr(GBytes) body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
  soup_server_message_set_status(call->incoming,
                                 body == nullptr
                                     ? SOUP_STATUS_BAD_GATEWAY
                                     : soup_message_get_status(call->outgoing),
                                 nullptr);
  soup_message_headers_foreach(
      soup_message_get_response_headers(call->outgoing), CopyHeader,
      soup_server_message_get_response_headers(call->incoming));
  if (body != nullptr) {
    soup_message_body_append_bytes(
        soup_server_message_get_response_body(call->incoming), body);
  }
  soup_server_message_unpause(call->incoming);
  g_object_unref(call->outgoing);
  g_object_unref(call->incoming);
}

}  // namespace fireflythread
