#include "fireflythread/ctl/http_api.h"

#include <glib.h>
#include <libsoup/soup.h>

#include <thread>
#include <utility>

#include "fireflythread/admin/g_ptr.h"

namespace fireflythread::ctl {
namespace {

using admin::internal::GPtr;

struct FreeBytes {
  auto operator()(GBytes* bytes) const -> void { g_bytes_unref(bytes); }
};

// A reply of an entry; a fleet's status has a few kilobytes for each VM.
auto ReadReply(SoupMessage* message, GBytes* bytes) -> ApiReply {
  gsize length = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &length));
  ApiReply reply;
  reply.status = static_cast<int>(soup_message_get_status(message));
  reply.json = nlohmann::json::parse(data, data + length, nullptr, false);
  if (reply.json.is_discarded()) {
    reply.json = nullptr;
  }
  return reply;
}

auto Failure(std::string problem) -> ApiReply {
  ApiReply reply;
  reply.problem = std::move(problem);
  return reply;
}

auto TakeMessage(GError* error) -> std::string {
  std::string message = error->message;
  g_error_free(error);
  return message;
}

}  // namespace

struct HttpApi::Impl {
  std::string server;
  std::string token;
  GPtr<SoupSession> session{soup_session_new()};
  std::string problem;
};

HttpApi::HttpApi(std::string server,
                 std::string token,
                 const std::string& ca_file)
    : impl(std::make_unique<Impl>()) {
  this->impl->server = std::move(server);
  this->impl->token = std::move(token);
  // Entries are reached by IP address and never through a proxy.
  soup_session_set_proxy_resolver(this->impl->session.get(), nullptr);
  if (ca_file.empty()) {
    return;
  }
  GError* error = nullptr;
  const GPtr<GTlsDatabase> database(
      g_tls_file_database_new(ca_file.c_str(), &error));
  if (!database) {
    this->impl->problem = ca_file + ": " + TakeMessage(error);
    return;
  }
  soup_session_set_tls_database(this->impl->session.get(), database.get());
}

HttpApi::~HttpApi() = default;

auto HttpApi::Call(const ApiRequest& request) -> ApiReply {
  if (!this->impl->problem.empty()) {
    return Failure(this->impl->problem);
  }
  const std::string uri = this->impl->server + request.path;
  const GPtr<SoupMessage> message(
      soup_message_new(request.method.c_str(), uri.c_str()));
  if (!message) {
    return Failure(this->impl->server + " is not an HTTP address");
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(message.get());
  soup_message_headers_replace(headers, "Authorization",
                               ("Bearer " + this->impl->token).c_str());
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  // A new connection for each request: libsoup repeats a request by itself
  // only on a connection that was used before.
  soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
  soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
  if (!request.body.empty()) {
    const std::unique_ptr<GBytes, FreeBytes> body(
        g_bytes_new(request.body.data(), request.body.size()));
    soup_message_set_request_body_from_bytes(message.get(), "application/json",
                                             body.get());
  }
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(request.timeout).count();
  soup_session_set_timeout(this->impl->session.get(),
                           static_cast<guint>(seconds));
  GError* error = nullptr;
  const std::unique_ptr<GBytes, FreeBytes> bytes(soup_session_send_and_read(
      this->impl->session.get(), message.get(), nullptr, &error));
  if (bytes) {
    return ReadReply(message.get(), bytes.get());
  }
  const bool is_refused =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
      error->domain == G_TLS_ERROR || error->domain == SOUP_SESSION_ERROR ||
      error->domain == G_RESOLVER_ERROR;
  ApiReply reply = Failure(TakeMessage(error));
  reply.may_have_run = !is_refused;
  return reply;
}

auto HttpApi::Sleep(Duration duration) -> void {
  std::this_thread::sleep_for(duration);
}

}  // namespace fireflythread::ctl
