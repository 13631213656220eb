#ifndef STANDIN_CALLER_CALL_H_
#define STANDIN_CALLER_CALL_H_

#include <libsoup/soup.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "fireflythread/base/time.h"
#include "standin/caller/call_record.h"

namespace fireflythread::standin {

/// What is the same for all requests of a run.
struct CallSettings {
  /// Time after the deadline at which the caller gives up.
  std::chrono::milliseconds grace{3000};
  /// Passed to the backend stand-in when not negative.
  int work_ms = -1;
  int body_bytes = 0;
  int answer_bytes = 0;
  /// The caller speaks to a backend server, whose answers have no outcome
  /// header, and at its paths.
  bool direct = false;
};

/// One request on its way. It is written to a connection at most once.
class Call {
 public:
  using Callback = std::function<void(CallRecord)>;

  /// Sends the plan to the entry at `address`; owns itself until the callback
  /// has run.
  static auto Send(SoupSession* session,
                   const std::string& address,
                   const CallPlan& plan,
                   const CallSettings& settings,
                   TimePoint due,
                   Callback callback) -> void;

  ~Call();
  Call(const Call&) = delete;
  auto operator=(const Call&) -> Call& = delete;

 private:
  Call(const CallPlan& plan, TimePoint due_at, Callback on_end);
  auto BuildMessage(const std::string& address, const CallSettings& settings)
      -> void;
  auto Start(SoupSession* session, const CallSettings& settings) -> void;
  auto Classify(GBytes* body, const GError* error) -> void;
  /// The value of the outcome header, or what stands for it.
  auto Outcome() const -> std::string;
  auto CheckAnswer(GBytes* body) -> void;
  auto ResponseHeader(const char* name) const -> std::string;

  CallRecord record;
  TimePoint due;
  Callback callback;
  SoupMessage* message = nullptr;
  GCancellable* cancellable;
  guint timer = 0;
  bool direct = false;
  bool started = false;
  bool restarted = false;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_H_
