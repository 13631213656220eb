#ifndef FIREFLYTHREAD_RETRY_RETRY_POLICY_H_
#define FIREFLYTHREAD_RETRY_RETRY_POLICY_H_

#include <optional>

#include "fireflythread/admission/request_class.h"
#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/time.h"
#include "fireflythread/retry/attempt_result.h"

namespace fireflythread {

/// The facts that decide whether a request may be attempted again.
struct RetryFacts {
  bool idempotent = false;
  AttemptResult last = AttemptResult::kUnknown;
  Duration time_left{0};
  Duration estimated_time{0};
};

/// Returns true if another attempt is allowed: after any failed attempt of an
/// idempotent request, otherwise only after one that is known not to have run.
/// The remaining time must cover the estimated service time. The caller checks
/// the retry budget separately.
[[nodiscard]] auto MayRetry(const RetryFacts& facts) -> bool;

/// Returns how long to wait for an answer before a second attempt is sent in
/// parallel to the first; no value if the request must not be hedged or there
/// are too few observations.
[[nodiscard]] auto HedgeDelay(RequestClass request_class,
                              bool idempotent,
                              const ServiceTime& observed)
    -> std::optional<Duration>;

/// Returns the timeout of one attempt. For an idempotent request half of the
/// remaining time is kept for another attempt, if the other half is several
/// times the estimated service time.
[[nodiscard]] auto AttemptTimeLimit(bool idempotent,
                                    Duration time_left,
                                    const ServiceTime& observed) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RETRY_POLICY_H_
