#include "test/process/http_fetch.h"

#include <libsoup/soup.h>

namespace fireflythread::test {
namespace {

auto Header(SoupMessage* message, const char* name) -> std::string {
  const char* value = soup_message_headers_get_one(
      soup_message_get_response_headers(message), name);
  return value == nullptr ? "" : value;
}

}  // namespace

auto HttpAnswer::Json() const -> nlohmann::json {
  const auto json = nlohmann::json::parse(this->body, nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

auto Fetch(const std::string& method,
           const std::string& url,
           const std::string& body,
           const HttpHeaders& headers,
           std::chrono::seconds timeout) -> HttpAnswer {
  GMainContext* context = g_main_context_new();
  g_main_context_push_thread_default(context);
  SoupSession* session = soup_session_new_with_options(
      "timeout", static_cast<guint>(timeout.count()), "proxy-resolver", nullptr,
      nullptr);
  SoupMessage* message = soup_message_new(method.c_str(), url.c_str());
  for (const auto& [name, value] : headers) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 name.c_str(), value.c_str());
  }
  if (!body.empty()) {
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  HttpAnswer answer;
  GBytes* bytes =
      soup_session_send_and_read(session, message, nullptr, nullptr);
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    answer.status = soup_message_get_status(message);
    answer.body.assign(data == nullptr ? "" : data, size);
    answer.outcome = Header(message, "Fireflythread-Outcome");
    answer.reason = Header(message, "Fireflythread-Reason");
    g_bytes_unref(bytes);
  }
  g_object_unref(message);
  g_object_unref(session);
  g_main_context_pop_thread_default(context);
  g_main_context_unref(context);
  return answer;
}

}  // namespace fireflythread::test
