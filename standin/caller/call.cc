#include "standin/caller/call.h"

#include <fmt/format.h>

#include <utility>

#include "fireflythread/base/io_clock.h"
#include "standin/common/digest.h"

namespace fireflythread::standin {

Call::Call(const CallPlan& plan, TimePoint due_at, Callback on_end)
    : due(due_at),
      callback(std::move(on_end)),
      cancellable(g_cancellable_new()) {
  this->record.plan = plan;
}

Call::~Call() {
  if (this->timer != 0) {
    g_source_remove(this->timer);
  }
  g_signal_handlers_disconnect_by_data(this->message, this);
  g_object_unref(this->cancellable);
  g_object_unref(this->message);
}

auto Call::Send(SoupSession* session,
                const std::string& address,
                const CallPlan& plan,
                const CallSettings& settings,
                TimePoint due,
                Callback callback) -> void {
  auto* call = new Call(plan, due, std::move(callback));
  call->record.entry = address;
  call->direct = settings.direct;
  call->BuildMessage(address, settings);
  call->Start(session, settings);
}

auto Call::BuildMessage(const std::string& address,
                        const CallSettings& settings) -> void {
  const CallPlan& plan = this->record.plan;
  this->message = soup_message_new(
      plan.method.c_str(),
      fmt::format("http://{}/s/{}/jobs/{}", address, plan.service,
                  plan.repeats.empty() ? plan.id : plan.repeats)
          .c_str());
  // libsoup reuses a connection for a POST only if it may resend it; Start()
  // keeps it from doing so.
  soup_message_add_flags(
      this->message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT |
                                                   SOUP_MESSAGE_IDEMPOTENT));
  SoupMessageHeaders* headers = soup_message_get_request_headers(this->message);
  const auto set = [headers](const char* name, const std::string& value) {
    if (!value.empty()) {
      soup_message_headers_replace(headers, name, value.c_str());
    }
  };
  set("X-Standin-Request-Id", plan.id);
  set("Fireflythread-Urgency", plan.urgency);
  set("Fireflythread-Team", plan.team);
  set("Fireflythread-Deadline-Ms", std::to_string(plan.deadline.count()));
  set("Idempotency-Key", plan.key);
  if (plan.method == "POST") {
    if (plan.key.empty()) {
      set("Idempotent", "true");
    }
    const std::string body(static_cast<std::size_t>(settings.body_bytes), 'b');
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(this->message, "text/plain",
                                             bytes);
    g_bytes_unref(bytes);
  }
  if (settings.work_ms >= 0) {
    set("X-Standin-Work-Ms", std::to_string(settings.work_ms));
  }
  if (settings.answer_bytes > 0) {
    set("X-Standin-Answer-Bytes", std::to_string(settings.answer_bytes));
  }
}

auto Call::Start(SoupSession* session, const CallSettings& settings) -> void {
  g_signal_connect(this->message, "starting",
                   G_CALLBACK(+[](SoupMessage*, Call* self) -> void {
                     self->started = true;
                   }),
                   this);
  // libsoup resends some requests after a reused connection closed; a resent
  // request would reach the service as two.
  g_signal_connect(this->message, "restarted",
                   G_CALLBACK(+[](SoupMessage*, Call* self) -> void {
                     self->restarted = true;
                     g_cancellable_cancel(self->cancellable);
                   }),
                   this);
  const auto limit = this->record.plan.deadline + settings.grace;
  this->timer = g_timeout_add(
      static_cast<guint>(limit.count()),
      +[](gpointer data) -> gboolean {
        auto* self = static_cast<Call*>(data);
        self->timer = 0;
        self->record.reason = "no answer in time";
        g_cancellable_cancel(self->cancellable);
        return G_SOURCE_REMOVE;
      },
      this);
  soup_session_send_and_read_async(
      session, this->message, G_PRIORITY_DEFAULT, this->cancellable,
      +[](GObject* source, GAsyncResult* result, gpointer data) -> void {
        const std::unique_ptr<Call> self(static_cast<Call*>(data));
        GError* error = nullptr;
        GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                         result, &error);
        self->Classify(body, error);
        g_clear_error(&error);
        g_clear_pointer(&body, g_bytes_unref);
        self->callback(std::move(self->record));
      },
      this);
}

auto Call::ResponseHeader(const char* name) const -> std::string {
  const char* value = soup_message_headers_get_one(
      soup_message_get_response_headers(this->message), name);
  return value == nullptr ? "" : value;
}

auto Call::Outcome() const -> std::string {
  if (!this->direct) {
    return this->ResponseHeader("Fireflythread-Outcome");
  }
  return this->ResponseHeader("X-Not-Run") == "1" ? "not-run" : "answered";
}

auto Call::Classify(GBytes* body, const GError* error) -> void {
  const std::chrono::duration<double, std::milli> latency =
      ReadBootClock() - this->due;
  this->record.latency_ms = latency.count();
  this->record.status = soup_message_get_status(this->message);
  if (error != nullptr) {
    this->record.outcome =
        this->started ? CallOutcome::kUnknown : CallOutcome::kNotSent;
    if (this->record.reason.empty()) {
      this->record.reason =
          this->restarted ? "connection closed" : error->message;
    }
    return;
  }
  this->record.reason = this->ResponseHeader("Fireflythread-Reason");
  const std::string outcome = this->Outcome();
  if (outcome == "not-run") {
    this->record.outcome = CallOutcome::kNotRun;
  } else if (outcome == "answered") {
    this->CheckAnswer(body);
  } else {
    this->record.outcome = CallOutcome::kUnknown;
    if (outcome != "unknown") {
      this->record.reason =
          fmt::format("no outcome header, status {}", this->record.status);
    }
  }
}

auto Call::CheckAnswer(GBytes* body) -> void {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  const std::string text(data, size);
  const std::string digest = this->ResponseHeader("Content-Digest");
  this->record.outcome = CallOutcome::kMismatched;
  if (!digest.empty() &&
      digest != fmt::format("sha-256=:{}:", Sha256Base64(text))) {
    this->record.reason = "the digest is wrong";
    return;
  }
  constexpr unsigned kOk = 200;
  if (this->record.status == kOk) {
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    const std::string echo =
        json.is_object() ? json.value("caller_request", "") : "";
    if (!IsAnswerTo(this->record.plan, echo)) {
      this->record.reason = "an answer to request '" + echo + "'";
      return;
    }
  }
  this->record.outcome = CallOutcome::kAnswered;
}

}  // namespace fireflythread::standin
