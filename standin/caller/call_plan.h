#ifndef STANDIN_CALLER_CALL_PLAN_H_
#define STANDIN_CALLER_CALL_PLAN_H_

#include <chrono>
#include <string>

namespace fireflythread::standin {

/// Ends the id of a repeat; the rest is the id of the first request.
inline constexpr const char* kRepeatSuffix = "-repeat";

/// One request to be sent.
struct CallPlan {
  /// Sent as `X-Standin-Request-Id`; the answer must echo it.
  std::string id;
  std::string method = "POST";
  std::string service;
  std::string team;
  std::string urgency;
  /// Idempotency key of a non-idempotent request; else empty.
  std::string key;
  /// The id of the first request with the same key, when this one repeats it.
  std::string repeats;
  std::chrono::milliseconds deadline{0};
  std::size_t entry = 0;
};

/// Whether an answer that echoes this id is one to the request. The requests
/// with one key run once, and each of them gets the answer of that run: the
/// repeat's too, when the repeat was sent at the same time and claimed the key
/// first.
[[nodiscard]] inline auto IsAnswerTo(const CallPlan& plan,
                                     const std::string& echo) -> bool {
  if (plan.key.empty()) {
    return echo == plan.id;
  }
  const std::string& first = plan.repeats.empty() ? plan.id : plan.repeats;
  return echo == first || echo == first + kRepeatSuffix;
}

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_PLAN_H_
