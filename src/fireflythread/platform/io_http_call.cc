#include "fireflythread/platform/io_http_call.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread::internal {
namespace {

/// Most bytes of an answer that are read at once.
constexpr gsize kReadBytes = 64 << 10;

}  // namespace

HttpCall::HttpCall(SoupSession* owner, SoupMessage* request, Callback finished)
    : session(SOUP_SESSION(g_object_ref(owner))),
      message(SOUP_MESSAGE(g_object_ref(request))),
      cancellable(g_cancellable_new()),
      callback(std::move(finished)) {}

HttpCall::~HttpCall() {
  this->StopTimer();
  g_signal_handlers_disconnect_by_data(this->message, this);
  g_clear_object(&this->stream);
  g_object_unref(this->cancellable);
  g_object_unref(this->message);
  g_object_unref(this->session);
}

auto HttpCall::Start(SoupSession* session,
                     SoupMessage* message,
                     const HttpLimits& limits,
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
  call->silence = limits.silence;
  call->ends_at = ReadBootClock() + limits.total;
  call->StartTimer();
  soup_session_send_async(session, message, G_PRIORITY_DEFAULT,
                          call->cancellable, &HttpCall::OnSent,
                          new std::shared_ptr<HttpCall>(call));
  return call;
}

auto HttpCall::OnSent(GObject* source, GAsyncResult* result, gpointer data)
    -> void {
  // The operation owns a reference, so the call outlives its answer.
  const std::unique_ptr<std::shared_ptr<HttpCall>> reference(
      static_cast<std::shared_ptr<HttpCall>*>(data));
  HttpCall& self = **reference;
  GError* error = nullptr;
  self.stream = soup_session_send_finish(SOUP_SESSION(source), result, &error);
  if (self.stream == nullptr) {
    self.FinishFailed(error);
    g_clear_error(&error);
    return;
  }
  self.ReadMore();
}

auto HttpCall::ReadMore() -> void {
  this->StartTimer();
  g_input_stream_read_bytes_async(
      this->stream, kReadBytes, G_PRIORITY_DEFAULT, this->cancellable,
      &HttpCall::OnRead, new std::shared_ptr<HttpCall>(shared_from_this()));
}

auto HttpCall::OnRead(GObject* source, GAsyncResult* result, gpointer data)
    -> void {
  const std::unique_ptr<std::shared_ptr<HttpCall>> reference(
      static_cast<std::shared_ptr<HttpCall>*>(data));
  HttpCall& self = **reference;
  GError* error = nullptr;
  GBytes* bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &error);
  if (bytes == nullptr) {
    self.FinishFailed(error);
    g_clear_error(&error);
    return;
  }
  gsize size = 0;
  const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > 0) {
    self.body.append(text, size);
  }
  g_bytes_unref(bytes);
  if (size > 0) {
    self.ReadMore();
  } else {
    self.FinishReply();
  }
}

auto HttpCall::StartTimer() -> void {
  this->StopTimer();
  if (!this->callback) {
    return;
  }
  const Duration left =
      std::min(this->silence, this->ends_at - ReadBootClock());
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(left);
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
  // The connection is free for the next call only once the stream is released.
  g_clear_object(&this->stream);
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

auto HttpCall::FinishFailed(const GError* error) -> void {
  this->Finish(HttpFailure{
      .reason = error->message,
      .may_have_run = this->started,
      .timed_out = false,
  });
}

auto HttpCall::FinishReply() -> void {
  HttpReply reply;
  reply.status = soup_message_get_status(this->message);
  const char* not_run = soup_message_headers_get_one(
      soup_message_get_response_headers(this->message), "X-Not-Run");
  reply.not_run = not_run != nullptr && std::strcmp(not_run, "1") == 0;
  reply.body = std::move(this->body);
  this->Finish(std::move(reply));
}

}  // namespace fireflythread::internal
