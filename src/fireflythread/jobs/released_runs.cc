#include "fireflythread/jobs/released_runs.h"

namespace fireflythread {

auto ReleaseReasonName(ReleaseReason reason) -> std::string_view {
  return reason == ReleaseReason::kLeaseExpired ? "lease_expired"
                                                : "other_instance";
}

}  // namespace fireflythread
