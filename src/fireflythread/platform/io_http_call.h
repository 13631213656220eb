#ifndef FIREFLYTHREAD_PLATFORM_IO_HTTP_CALL_H_
#define FIREFLYTHREAD_PLATFORM_IO_HTTP_CALL_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "fireflythread/base/time.h"

namespace fireflythread::internal {

/// A whole answer. `not_run` says that it carries `X-Not-Run: 1`.
struct HttpReply {
  unsigned status = 0;
  bool not_run = false;
  std::string body;
};

/// No whole answer. `may_have_run` is false only when not a byte of the
/// request was written to a connection.
struct HttpFailure {
  std::string reason;
  bool may_have_run = true;
  bool timed_out = false;
};

/// How long a call may take.
struct HttpLimits {
  /// Longest time in which no byte of the answer arrives.
  Duration silence;
  /// Longest time of the whole call.
  Duration total;
};

/// One HTTP request that ends at its limits even if the connection is silent.
/// A request other than GET is written to a connection at most once.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  using Result = std::variant<HttpReply, HttpFailure>;
  using Callback = std::function<void(Result)>;

  /// Starts the request on the thread's default main context, where the
  /// callback later runs, once. Takes its own references of `session` and
  /// `message`.
  static auto Start(SoupSession* session,
                    SoupMessage* message,
                    const HttpLimits& limits,
                    Callback callback) -> std::shared_ptr<HttpCall>;

  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  auto operator=(const HttpCall&) -> HttpCall& = delete;

  /// Cancels the request and drops the callback without running it.
  auto Abandon() -> void;
  [[nodiscard]] auto IsDone() const -> bool { return !this->callback; }

 private:
  HttpCall(SoupSession* owner, SoupMessage* request, Callback finished);
  /// Takes what the operation that ends with `result` returned, and goes on.
  static auto OnSent(GObject* source, GAsyncResult* result, gpointer data)
      -> void;
  static auto OnRead(GObject* source, GAsyncResult* result, gpointer data)
      -> void;
  auto ReadMore() -> void;
  auto StartTimer() -> void;
  auto StopTimer() -> void;
  auto Finish(Result result) -> void;
  auto FinishFailed(const GError* error) -> void;
  auto FinishReply() -> void;

  SoupSession* session;
  SoupMessage* message;
  GCancellable* cancellable;
  GInputStream* stream = nullptr;
  GSource* timer = nullptr;
  Duration silence{0};
  TimePoint ends_at;
  Callback callback;
  std::string body;
  bool started = false;
};

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_PLATFORM_IO_HTTP_CALL_H_
