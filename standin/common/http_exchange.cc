#include "standin/common/http_exchange.h"

#include <fmt/format.h>

#include "standin/common/silent_connection.h"

namespace fireflythread::standin {
namespace {

/// The status line and the headers of an answer that is written by hand.
auto FormatHead(unsigned status,
                const std::string& body,
                const HttpExchange::Headers& headers) -> std::string {
  std::string head = fmt::format("HTTP/1.1 {} Answer\r\n", status);
  for (const auto& [name, value] : headers) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  return head + fmt::format("Content-Length: {}\r\n\r\n", body.size());
}

}  // namespace

HttpExchange::HttpExchange(SoupServerMessage* received)
    : message(SOUP_SERVER_MESSAGE(g_object_ref(received))) {
  const auto mark_gone = +[](SoupServerMessage*, HttpExchange* self) -> void {
    self->gone = true;
  };
  g_signal_connect(this->message, "finished", G_CALLBACK(mark_gone), this);
  g_signal_connect(this->message, "disconnected", G_CALLBACK(mark_gone), this);
  soup_server_message_pause(this->message);
}

HttpExchange::~HttpExchange() {
  g_signal_handlers_disconnect_by_data(this->message, this);
  g_object_unref(this->message);
}

auto HttpExchange::Method() const -> std::string {
  return soup_server_message_get_method(this->message);
}

auto HttpExchange::RawPath() const -> std::string {
  return g_uri_get_path(soup_server_message_get_uri(this->message));
}

auto HttpExchange::Segments() const -> std::vector<std::string> {
  std::vector<std::string> segments;
  char** parts = g_strsplit(this->RawPath().c_str(), "/", -1);
  for (char** part = parts; *part != nullptr; ++part) {
    char* plain = g_uri_unescape_string(*part, nullptr);
    if (plain != nullptr && *plain != '\0') {
      segments.emplace_back(plain);
    }
    g_free(plain);
  }
  g_strfreev(parts);
  return segments;
}

auto HttpExchange::Query(const std::string& name) const -> std::string {
  const char* query =
      g_uri_get_query(soup_server_message_get_uri(this->message));
  if (query == nullptr) {
    return "";
  }
  GHashTable* form = soup_form_decode(query);
  const auto* value =
      static_cast<const char*>(g_hash_table_lookup(form, name.c_str()));
  std::string result = value == nullptr ? "" : value;
  g_hash_table_unref(form);
  return result;
}

auto HttpExchange::Header(const char* name) const -> std::string {
  const char* value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(this->message), name);
  return value == nullptr ? "" : value;
}

auto HttpExchange::Body() const -> std::string {
  SoupMessageBody* body = soup_server_message_get_request_body(this->message);
  if (body == nullptr || body->length == 0) {
    return "";
  }
  GBytes* bytes = soup_message_body_flatten(body);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  std::string result(data, size);
  g_bytes_unref(bytes);
  return result;
}

auto HttpExchange::ClientPort() const -> int {
  GSocketAddress* address =
      soup_server_message_get_remote_address(this->message);
  return G_IS_INET_SOCKET_ADDRESS(address)
             ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address))
             : 0;
}

auto HttpExchange::Reply(unsigned status,
                         const std::string& body,
                         const Headers& headers) -> void {
  if (this->gone) {
    return;
  }
  soup_server_message_set_status(this->message, status, nullptr);
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(this->message), name.c_str(),
        value.c_str());
  }
  soup_server_message_set_response(this->message, "application/json",
                                   SOUP_MEMORY_COPY, body.data(), body.size());
  soup_server_message_unpause(this->message);
}

auto HttpExchange::ReplyJson(unsigned status,
                             const nlohmann::json& json,
                             const Headers& headers) -> void {
  this->Reply(
      status,
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      headers);
}

auto HttpExchange::ReplyTruncated(unsigned status,
                                  const std::string& body,
                                  const Headers& headers) -> void {
  this->StealLater(
      FormatHead(status, body, headers) + body.substr(0, body.size() / 2),
      true);
}

auto HttpExchange::ReplyTwice(unsigned status,
                              const std::string& body,
                              const Headers& headers) -> void {
  const std::string answer = FormatHead(status, body, headers) + body;
  this->StealLater(answer + answer, false);
}

auto HttpExchange::Close() -> void {
  this->StealLater("", true);
}

auto HttpExchange::GoSilent() -> void {
  this->StealLater("", false);
}

auto HttpExchange::StealLater(std::string bytes, bool close) -> void {
  struct Steal {
    std::shared_ptr<HttpExchange> exchange;
    std::string bytes;
    bool close;
  };
  // libsoup does not allow a request's connection to be taken over from within
  // the request's own handler.
  g_idle_add_full(
      G_PRIORITY_DEFAULT,
      +[](gpointer data) -> gboolean {
        const auto* steal = static_cast<const Steal*>(data);
        if (!steal->exchange->gone) {
          GIOStream* stream =
              soup_server_message_steal_connection(steal->exchange->message);
          steal->exchange->gone = true;
          KeepSilentConnection(stream, steal->bytes, steal->close);
        }
        return G_SOURCE_REMOVE;
      },
      new Steal{this->shared_from_this(), std::move(bytes), close},
      +[](gpointer data) -> void { delete static_cast<Steal*>(data); });
}

}  // namespace fireflythread::standin
