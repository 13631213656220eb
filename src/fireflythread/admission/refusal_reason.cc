#include "fireflythread/admission/refusal_reason.h"

namespace fireflythread {

auto RefusalReasonText(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kMalformed:
      return "malformed-request";
    case RefusalReason::kKeyMissing:
      return "idempotency-key-missing";
    case RefusalReason::kKeyReused:
      return "idempotency-key-reused";
    case RefusalReason::kUnknownService:
      return "unknown-service";
    case RefusalReason::kHeadersTooLarge:
      return "headers-too-large";
    case RefusalReason::kBodyTooLarge:
      return "body-too-large";
    case RefusalReason::kSizeFitsNoWorker:
      return "size-fits-no-worker";
    case RefusalReason::kTeamRate:
      return "team-rate-quota";
    case RefusalReason::kTeamInFlight:
      return "team-in-flight-quota";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline-unreachable";
    case RefusalReason::kDeadlinePassed:
      return "deadline-passed";
    case RefusalReason::kNotFresh:
      return "control-state-not-current";
    case RefusalReason::kNotReady:
      return "not-ready";
    case RefusalReason::kShuttingDown:
      return "shutting-down";
    case RefusalReason::kNoWorker:
      return "no-worker";
    case RefusalReason::kRefusedByWorkers:
      return "refused-by-workers";
    case RefusalReason::kNotRecorded:
      return "key-not-recorded";
    case RefusalReason::kCallerGone:
      break;
  }
  return "caller-gone";
}

auto RefusalHttpStatus(RefusalReason reason) -> int {
  switch (reason) {
    case RefusalReason::kMalformed:
    case RefusalReason::kKeyMissing:
      return 400;
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kHeadersTooLarge:
      return 431;
    case RefusalReason::kBodyTooLarge:
    case RefusalReason::kSizeFitsNoWorker:
      return 413;
    case RefusalReason::kKeyReused:
      return 422;
    case RefusalReason::kTeamRate:
    case RefusalReason::kTeamInFlight:
      return 429;
    default:
      return 503;
  }
}

}  // namespace fireflythread
