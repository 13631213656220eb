#ifndef FIREFLYTHREAD_RETRY_RETRY_POLICY_H_
#define FIREFLYTHREAD_RETRY_RETRY_POLICY_H_

#include <optional>

#include "fireflythread/admission/request_class.h"
#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/time.h"
#include "fireflythread/retry/attempt_result.h"

namespace fireflythread {

/// What decides whether an attempt may be followed by another.
struct RetryFacts {
  bool idempotent = false;
  AttemptResult last = AttemptResult::kUnknown;
  Duration time_left{0};
  Duration estimated_time{0};
};

/// True if another attempt is allowed: any failed attempt of an idempotent
/// request, and otherwise only one that certainly did not run. The retry
/// budget is asked separately.
[[nodiscard]] auto MayRetry(const RetryFacts& facts) -> bool;

/// How long to wait for an answer before a second attempt is sent beside the
/// first; none if the request must not be hedged or too little is known.
[[nodiscard]] auto HedgeDelay(RequestClass request_class,
                              bool idempotent,
                              const ServiceTime& observed)
    -> std::optional<Duration>;

/// How long one attempt may take. An idempotent request keeps time for another
/// attempt when the first would likely be done several times over.
[[nodiscard]] auto AttemptTimeLimit(bool idempotent,
                                    Duration time_left,
                                    const ServiceTime& observed) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RETRY_POLICY_H_
