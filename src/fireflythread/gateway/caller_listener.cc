#include "fireflythread/gateway/caller_listener.h"

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

#include "fireflythread/gateway/gateway_settings.h"

namespace fireflythread {

namespace {

constexpr const char* kBodySizeKey = "fireflythread-body-size";

auto ReadHeaders(SoupServerMessage* message) -> std::vector<HttpHeader> {
  std::vector<HttpHeader> headers;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(
      &iterator, soup_server_message_get_request_headers(message));
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
    headers.push_back({name, value});
  }
  return headers;
}

auto ReadBody(SoupServerMessage* message) -> std::string {
  g_autoptr(GBytes) bytes =
      soup_message_body_flatten(soup_server_message_get_request_body(message));
  gsize size = 0;
  const void* data = g_bytes_get_data(bytes, &size);
  return size == 0 ? std::string()
                   : std::string(static_cast<const char*>(data), size);
}

auto ParseMessage(SoupServerMessage* message) -> ParsedRequest {
  GUri* uri = soup_server_message_get_uri(message);
  const char* query = g_uri_get_query(uri);
  return ParseCallerRequest(soup_server_message_get_method(message),
                            g_uri_get_path(uri), query == nullptr ? "" : query,
                            ReadHeaders(message));
}

/// Bytes of the request line and the headers, as they are sent.
auto HeaderBytes(SoupServerMessage* message) -> std::size_t {
  constexpr std::size_t kSeparators = 4;
  std::size_t bytes =
      std::strlen(g_uri_get_path(soup_server_message_get_uri(message)));
  for (const HttpHeader& header : ReadHeaders(message)) {
    bytes += header.name.size() + header.value.size() + kSeparators;
  }
  return bytes;
}

/// Body bytes counted so far of a chunked request.
auto BodySize(SoupServerMessage* message) -> std::size_t {
  return GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), kBodySizeKey));
}

}  // namespace

CallerListener::CallerListener(const GatewaySettings& settings,
                               RequestHandler request_handler,
                               RefusedHandler refused_handler)
    : max_body_bytes(settings.max_request_bytes),
      max_header_bytes(settings.max_header_bytes),
      connections(settings.max_caller_connections, settings.receive_timeout),
      on_request(std::move(request_handler)),
      on_refused(std::move(refused_handler)),
      server(soup_server_new("server-header", "fireflythread", nullptr)) {
  this->connections.Watch(this->server);
  soup_server_add_early_handler(this->server, nullptr, OnHeaders, this,
                                nullptr);
  soup_server_add_handler(this->server, nullptr, OnRequest, this, nullptr);
}

CallerListener::~CallerListener() {
  soup_server_remove_handler(this->server, nullptr);
  soup_server_disconnect(this->server);
  g_object_unref(this->server);
}

auto CallerListener::Start(const std::string& ip, std::uint16_t port)
    -> StartResult {
  g_autoptr(GSocketAddress) address =
      g_inet_socket_address_new_from_string(ip.c_str(), port);
  if (address == nullptr) {
    return StartError{"not an IP address: " + ip};
  }
  g_autoptr(GError) error = nullptr;
  if (soup_server_listen(this->server, address,
                         static_cast<SoupServerListenOptions>(0),
                         &error) == FALSE) {
    return StartError{error->message};
  }
  GSList* uris = soup_server_get_uris(this->server);
  const int bound = g_uri_get_port(static_cast<GUri*>(uris->data));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return BoundPort{static_cast<std::uint16_t>(bound)};
}

auto CallerListener::NotifyWhenIdle(std::function<void()> callback) -> void {
  this->on_idle = std::move(callback);
  if (this->open_exchanges == 0) {
    std::exchange(this->on_idle, nullptr)();
  }
}

auto CallerListener::OnHeaders(SoupServer* /*server*/,
                               SoupServerMessage* message,
                               const char* /*path*/,
                               GHashTable* /*query*/,
                               gpointer data) -> void {
  auto* self = static_cast<CallerListener*>(data);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  self->connections.HeadersReceived(message);
  if (HeaderBytes(message) > self->max_header_bytes) {
    self->RefuseEarly(message, {RefusalReason::kHeadersTooLarge,
                                "the headers are too large"});
  } else if (soup_message_headers_get_encoding(headers) ==
             SOUP_ENCODING_CHUNKED) {
    g_signal_connect(message, "got-chunk", G_CALLBACK(OnChunk), self);
  } else if (static_cast<std::uint64_t>(std::max<goffset>(
                 0, soup_message_headers_get_content_length(headers))) >
             self->max_body_bytes) {
    self->RefuseEarly(message,
                      {RefusalReason::kBodyTooLarge, "body is too large"});
  }
}

auto CallerListener::RefuseEarly(SoupServerMessage* message,
                                 const Refusal& refusal) -> void {
  // Answered before the body is read. The handler below does not run.
  WriteResponse(message, RefusalResponse(refusal));
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), "Connection", "close");
  this->on_refused(refusal);
}

auto CallerListener::OnChunk(SoupServerMessage* message,
                             GBytes* chunk,
                             gpointer data) -> void {
  auto* self = static_cast<CallerListener*>(data);
  const std::size_t size = BodySize(message) + g_bytes_get_size(chunk);
  g_object_set_data(G_OBJECT(message), kBodySizeKey, GSIZE_TO_POINTER(size));
  if (size > self->max_body_bytes) {
    // Goes on reading so that the answer is seen, but keeps nothing.
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
  }
}

auto CallerListener::OnRequest(SoupServer* /*server*/,
                               SoupServerMessage* message,
                               const char* /*path*/,
                               GHashTable* /*query*/,
                               gpointer data) -> void {
  static_cast<CallerListener*>(data)->Handle(message);
}

auto CallerListener::Handle(SoupServerMessage* message) -> void {
  this->connections.RequestReceived(message);
  ++this->open_exchanges;
  std::shared_ptr<CallerExchange> exchange =
      CallerExchange::Create(message, [this] { this->OnExchangeFinished(); });
  ParsedRequest parsed = ParseMessage(message);
  if (BodySize(message) > this->max_body_bytes) {
    parsed = Refusal{RefusalReason::kBodyTooLarge, "body is too large"};
  }
  if (const auto* refusal = std::get_if<Refusal>(&parsed)) {
    exchange->Answer(RefusalResponse(*refusal));
    this->on_refused(*refusal);
    return;
  }
  auto& request = std::get<CallerRequest>(parsed);
  request.body = ReadBody(message);
  this->on_request(std::move(request), std::move(exchange));
}

auto CallerListener::OnExchangeFinished() -> void {
  --this->open_exchanges;
  if (this->open_exchanges == 0 && this->on_idle) {
    std::exchange(this->on_idle, nullptr)();
  }
}

}  // namespace fireflythread
