#ifndef STANDIN_CALLER_CALL_PLAN_H_
#define STANDIN_CALLER_CALL_PLAN_H_

#include <chrono>
#include <string>

namespace fireflythread::standin {

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

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_PLAN_H_
