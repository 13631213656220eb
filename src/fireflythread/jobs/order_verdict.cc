#include "fireflythread/jobs/order_verdict.h"

namespace fireflythread {

auto OrderVerdictName(OrderVerdict verdict) -> std::string_view {
  switch (verdict) {
    case OrderVerdict::kDone:
      return "done";
    case OrderVerdict::kFenced:
      return "fenced";
    case OrderVerdict::kOldRun:
      return "old_run";
    case OrderVerdict::kDeadlinePassed:
      return "late";
    case OrderVerdict::kNoCapacity:
      return "no_room";
    case OrderVerdict::kNoTicket:
      return "no_ticket";
    case OrderVerdict::kInvalid:
      return "invalid";
    case OrderVerdict::kUnhealthy:
      return "unhealthy";
    case OrderVerdict::kOtherInstance:
      return "other_instance";
    case OrderVerdict::kUnknown:
      return "unknown";
    case OrderVerdict::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

}  // namespace fireflythread
