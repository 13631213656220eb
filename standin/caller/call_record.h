#ifndef STANDIN_CALLER_CALL_RECORD_H_
#define STANDIN_CALLER_CALL_RECORD_H_

#include <nlohmann/json.hpp>
#include <string>

#include "standin/caller/call_plan.h"

namespace fireflythread::standin {

/// How a request ended for its caller.
enum class CallOutcome {
  /// A complete answer of the backend server to this request.
  kAnswered,
  /// The service said that the request was not run.
  kNotRun,
  /// The service does not know, or the answer was lost.
  kUnknown,
  /// An answer to another request, or one whose digest is wrong.
  kMismatched,
  /// No entry took the connection.
  kNotSent
};

struct CallRecord {
  CallPlan plan;
  CallOutcome outcome = CallOutcome::kUnknown;
  unsigned status = 0;
  std::string reason;
  /// From the planned time of arrival to the end of the answer.
  double latency_ms = 0;
  /// The entry that ended the request.
  std::string entry;
};

[[nodiscard]] auto OutcomeName(CallOutcome outcome) -> const char*;
[[nodiscard]] auto ToJson(const CallRecord& record) -> nlohmann::json;

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_RECORD_H_
