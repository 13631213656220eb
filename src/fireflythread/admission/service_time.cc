#include "fireflythread/admission/service_time.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// The newest of about the last 50 observations.
constexpr double kNewest = 0.04;

}  // namespace

auto ObserveServiceTime(ServiceTime& time, Duration observed) -> void {
  ++time.samples;
  const double weight =
      std::max(kNewest, 1.0 / static_cast<double>(time.samples));
  const Duration difference = observed - time.mean;
  time.mean += std::chrono::duration_cast<Duration>(weight * difference);
  const Duration distance =
      difference < Duration::zero() ? -difference : difference;
  time.deviation += std::chrono::duration_cast<Duration>(
      weight * (distance - time.deviation));
}

auto LikelyServiceTime(const ServiceTime& time) -> Duration {
  return time.mean + time.deviation;
}

}  // namespace fireflythread
