#include "fireflythread/admin/soup_exchange.h"

#include <cstring>
#include <memory>

namespace fireflythread::admin::internal {
namespace {

struct FreeText {
  auto operator()(gchar* text) const -> void { g_free(text); }
};
struct FreeBytes {
  auto operator()(GBytes* bytes) const -> void { g_bytes_unref(bytes); }
};

auto Header(SoupMessageHeaders* headers, const char* name) -> std::string {
  const char* value = soup_message_headers_get_one(headers, name);
  return value == nullptr ? std::string() : std::string(value);
}

auto ReadBody(SoupServerMessage* message) -> std::string {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  const std::unique_ptr<GBytes, FreeBytes> bytes(
      soup_message_body_flatten(body));
  gsize length = 0;
  const auto* data =
      static_cast<const char*>(g_bytes_get_data(bytes.get(), &length));
  return length == 0 ? std::string() : std::string(data, length);
}

}  // namespace

auto HeaderSize(SoupServerMessage* message) -> std::int64_t {
  // Two separators and a line end for each header.
  constexpr std::size_t kPunctuation = 4;
  std::size_t size = 0;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(
      &iterator, soup_server_message_get_request_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value)) {
    size += std::strlen(name) + std::strlen(value) + kPunctuation;
  }
  const std::unique_ptr<gchar, FreeText> uri(
      g_uri_to_string(soup_server_message_get_uri(message)));
  return static_cast<std::int64_t>(size + std::strlen(uri.get()));
}

auto ReadRequest(SoupServerMessage* message,
                 const char* path,
                 GHashTable* query) -> AdminRequest {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  AdminRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  request.authorization = Header(headers, "Authorization");
  request.if_match = Header(headers, "If-Match");
  request.if_none_match = Header(headers, "If-None-Match");
  request.idempotency_key = Header(headers, "Idempotency-Key");
  request.body = ReadBody(message);
  if (query != nullptr) {
    GHashTableIter iterator;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iterator, query);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
      request.query[static_cast<const char*>(key)] =
          static_cast<const char*>(value);
    }
  }
  return request;
}

auto WriteResponse(SoupServerMessage* message, const AdminResponse& response)
    -> void {
  soup_server_message_set_status(message, static_cast<guint>(response.status),
                                 nullptr);
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const auto& [name, value] : response.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  // libsoup ends a connection that it did not accept itself after one response,
  // so the client is told not to use it again.
  soup_message_headers_replace(headers, "Connection", "close");
}

auto DiscardBody(SoupServerMessage* message) -> void {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  soup_message_body_set_accumulate(body, FALSE);
  soup_message_body_truncate(body);
}

}  // namespace fireflythread::admin::internal
