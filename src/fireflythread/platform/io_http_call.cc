#include "fireflythread/platform/io_http_call.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <utility>

namespace fireflythread::internal {

HttpCall::HttpCall(SoupSession* owner, SoupMessage* request, Callback finished)
    : session(SOUP_SESSION(g_object_ref(owner))),
      message(SOUP_MESSAGE(g_object_ref(request))),
      cancellable(g_cancellable_new()),
      callback(std::move(finished)) {}

HttpCall::~HttpCall() {
  this->StopTimer();
  g_signal_handlers_disconnect_by_data(this->message, this);
  g_object_unref(this->cancellable);
  g_object_unref(this->message);
  g_object_unref(this->session);
}

auto HttpCall::Start(SoupSession* session,
                     SoupMessage* message,
                     Duration timeout,
                     Callback callback) -> std::shared_ptr<HttpCall> {
  std::shared_ptr<HttpCall> call(
      new HttpCall(session, message, std::move(callback)));
  // "starting" is emitted when a connection is ready, before the first byte.
  g_signal_connect(message, "starting",
                   G_CALLBACK(+[](SoupMessage*, HttpCall* self) -> void {
                     self->started = true;
                   }),
                   call.get());
  // libsoup resends some requests by itself after a reused connection closed.
  if (std::strcmp(soup_message_get_method(message), "GET") != 0) {
    g_signal_connect(message, "restarted",
                     G_CALLBACK(+[](SoupMessage*, HttpCall* self) -> void {
                       g_cancellable_cancel(self->cancellable);
                     }),
                     call.get());
  }
  call->StartTimer(timeout);
  // The operation owns a reference, so the call outlives its answer.
  auto* owner = new std::shared_ptr<HttpCall>(call);
  soup_session_send_and_read_async(
      session, message, G_PRIORITY_DEFAULT, call->cancellable,
      +[](GObject* source, GAsyncResult* result, gpointer data) -> void {
        const std::unique_ptr<std::shared_ptr<HttpCall>> reference(
            static_cast<std::shared_ptr<HttpCall>*>(data));
        GError* error = nullptr;
        GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                         result, &error);
        (*reference)->HandleBody(body, error);
        g_clear_error(&error);
        g_clear_pointer(&body, g_bytes_unref);
      },
      owner);
  return call;
}

auto HttpCall::StartTimer(Duration timeout) -> void {
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(timeout);
  this->timer = g_timeout_source_new(
      static_cast<guint>(std::max<std::int64_t>(0, limit.count())));
  g_source_set_callback(
      this->timer,
      +[](gpointer data) -> gboolean {
        const auto self = static_cast<HttpCall*>(data)->shared_from_this();
        // Cancelling closes the connection, so that it is not reused.
        g_cancellable_cancel(self->cancellable);
        self->Finish(HttpFailure{
            .reason = "timeout",
            .may_have_run = self->started,
            .timed_out = true,
        });
        return G_SOURCE_REMOVE;
      },
      this, nullptr);
  g_source_attach(this->timer, g_main_context_get_thread_default());
}

auto HttpCall::StopTimer() -> void {
  if (this->timer != nullptr) {
    g_source_destroy(this->timer);
    g_clear_pointer(&this->timer, g_source_unref);
  }
}

auto HttpCall::Finish(Result result) -> void {
  this->StopTimer();
  // The callback may start the next call or destroy the client.
  if (const Callback finished = std::exchange(this->callback, nullptr)) {
    finished(std::move(result));
  }
}

auto HttpCall::Abandon() -> void {
  this->StopTimer();
  this->callback = nullptr;
  g_cancellable_cancel(this->cancellable);
}

auto HttpCall::HandleBody(GBytes* body, const GError* error) -> void {
  if (error != nullptr) {
    this->Finish(HttpFailure{
        .reason = error->message,
        .may_have_run = this->started,
        .timed_out = false,
    });
    return;
  }
  HttpReply reply;
  reply.status = soup_message_get_status(this->message);
  const char* not_run = soup_message_headers_get_one(
      soup_message_get_response_headers(this->message), "X-Not-Run");
  reply.not_run = not_run != nullptr && std::strcmp(not_run, "1") == 0;
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  if (size > 0) {
    reply.body.assign(data, size);
  }
  this->Finish(std::move(reply));
}

}  // namespace fireflythread::internal
