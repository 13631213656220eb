#include "fireflythread/gateway/caller_exchange.h"

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <utility>

#include "fireflythread/base/assert.h"

namespace fireflythread {

namespace {

constexpr const char* kOutcomeHeader = "Fireflythread-Outcome";
constexpr const char* kReasonHeader = "Fireflythread-Reason";

auto DeleteString(gpointer text) -> void {
  delete static_cast<std::string*>(text);
}

/// Hands a text to GLib without copying it.
auto ToBytes(std::string text) -> GBytes* {
  auto* owned = new std::string(std::move(text));
  return g_bytes_new_with_free_func(owned->data(), owned->size(), DeleteString,
                                    owned);
}

/// Fields that the caller listener writes itself.
auto IsListenerHeader(const std::string& name) -> bool {
  return IsConnectionHeader(name) || EqualsIgnoreCase(name, "date") ||
         EqualsIgnoreCase(name, kOutcomeHeader) ||
         EqualsIgnoreCase(name, kReasonHeader);
}

auto WriteHeaders(SoupMessageHeaders* headers, const CallerResponse& response)
    -> void {
  for (const HttpHeader& header : response.headers) {
    if (!IsListenerHeader(header.name)) {
      soup_message_headers_append(headers, header.name.c_str(),
                                  header.value.c_str());
    }
  }
  soup_message_headers_replace(
      headers, kOutcomeHeader,
      std::string(RequestOutcomeName(response.outcome)).c_str());
  if (!response.reason.empty()) {
    soup_message_headers_replace(headers, kReasonHeader,
                                 response.reason.c_str());
  }
}

}  // namespace

auto WriteResponse(SoupServerMessage* message, CallerResponse response)
    -> void {
  soup_server_message_set_status(message, static_cast<guint>(response.status),
                                 nullptr);
  WriteHeaders(soup_server_message_get_response_headers(message), response);
  if (!response.body.empty()) {
    g_autoptr(GBytes) bytes = ToBytes(std::move(response.body));
    soup_message_body_append_bytes(
        soup_server_message_get_response_body(message), bytes);
  }
}

CallerExchange::CallerExchange(SoupServerMessage* server_message,
                               std::function<void()> on_finished)
    : message(g_object_ref(server_message)),
      finished_handler(g_signal_connect(server_message,
                                        "finished",
                                        G_CALLBACK(OnFinished),
                                        this)),
      finished(std::move(on_finished)) {
  soup_server_message_pause(this->message);
}

CallerExchange::~CallerExchange() {
  g_signal_handler_disconnect(this->message, this->finished_handler);
  g_object_unref(this->message);
}

auto CallerExchange::Create(SoupServerMessage* message,
                            std::function<void()> finished)
    -> std::shared_ptr<CallerExchange> {
  std::shared_ptr<CallerExchange> exchange(
      new CallerExchange(message, std::move(finished)));
  exchange->keep = exchange;
  return exchange;
}

auto CallerExchange::Answer(CallerResponse response) -> void {
  FIREFLYTHREAD_ASSERT(!this->answered, "one answer to a request");
  this->answered = true;
  if (!this->gone) {
    WriteResponse(this->message, std::move(response));
    soup_server_message_unpause(this->message);
  }
}

auto CallerExchange::IsCallerGone() const -> bool {
  GSocket* socket =
      this->gone ? nullptr : soup_server_message_get_socket(this->message);
  if (socket == nullptr) {
    return true;
  }
  char byte = 0;
  const auto count =
      recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

auto CallerExchange::OnFinished(SoupServerMessage* /*message*/, gpointer data)
    -> void {
  auto* self = static_cast<CallerExchange*>(data);
  self->gone = true;
  const std::shared_ptr<CallerExchange> keep = std::move(self->keep);
  const std::function<void()> callback = std::exchange(self->finished, nullptr);
  if (callback) {
    callback();
  }
}

}  // namespace fireflythread
