#include "standin/caller/call_record.h"

namespace fireflythread::standin {

auto OutcomeName(CallOutcome outcome) -> const char* {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return "answered";
    case CallOutcome::kNotRun:
      return "not-run";
    case CallOutcome::kUnknown:
      return "unknown";
    case CallOutcome::kMismatched:
      return "mismatched";
    case CallOutcome::kNotSent:
      return "not-sent";
  }
  return "";
}

auto ToJson(const CallRecord& record) -> nlohmann::json {
  return {{"id", record.plan.id},
          {"method", record.plan.method},
          {"service", record.plan.service},
          {"team", record.plan.team},
          {"urgency", record.plan.urgency},
          {"key", record.plan.key},
          {"repeats", record.plan.repeats},
          {"deadline_ms", record.plan.deadline.count()},
          {"outcome", OutcomeName(record.outcome)},
          {"status", record.status},
          {"reason", record.reason},
          {"latency_ms", record.latency_ms},
          {"entry", record.entry}};
}

}  // namespace fireflythread::standin
