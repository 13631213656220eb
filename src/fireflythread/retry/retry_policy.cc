#include "fireflythread/retry/retry_policy.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// With fewer observations the estimates of the service time are unreliable.
constexpr std::uint64_t kMinSamples = 20;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(5);
/// An attempt is limited to half of the remaining time only if that half
/// exceeds the estimated service time by this factor.
constexpr int kAttemptTimeFactor = 4;

}  // namespace

auto MayRetry(const RetryFacts& facts) -> bool {
  const bool not_run = facts.last == AttemptResult::kNotSent ||
                       facts.last == AttemptResult::kRefused;
  const bool failed = facts.last != AttemptResult::kAnswered;
  const bool in_time = facts.time_left > Duration::zero() &&
                       facts.time_left >= facts.estimated_time;
  return in_time && (facts.idempotent ? failed : not_run);
}

auto HedgeDelay(RequestClass request_class,
                bool idempotent,
                const ServiceTime& observed) -> std::optional<Duration> {
  if (!idempotent || request_class != RequestClass::kCounter ||
      observed.samples < kMinSamples) {
    return std::nullopt;
  }
  // At the 95th percentile a twentieth of the requests is hedged, which leaves
  // half of the retry budget for retries.
  return std::max<Duration>(kMinHedgeDelay, observed.percentile95);
}

auto AttemptTimeLimit(bool idempotent,
                      Duration time_left,
                      const ServiceTime& observed) -> Duration {
  const Duration half = time_left / 2;
  const bool enough_time =
      observed.samples >= kMinSamples &&
      half > kAttemptTimeFactor * EstimateServiceTime(observed);
  return idempotent && enough_time ? half : time_left;
}

}  // namespace fireflythread
