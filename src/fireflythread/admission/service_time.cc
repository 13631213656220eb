#include "fireflythread/admission/service_time.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// Weight of the newest observation in the moving averages, which cover about
/// the last 50 observations.
constexpr double kEwmaWeight = 0.04;
/// Step of the percentile estimate as a fraction of the mean deviation. A
/// larger step follows changes faster but makes the estimate noisier.
constexpr double kPercentileStep = 0.2;
constexpr double kPercentile = 0.95;
/// With fewer samples the percentile is derived from mean and deviation.
constexpr std::uint64_t kSamplesForPercentile = 20;
constexpr int kInitialDeviations = 2;

/// Moves the estimate up or down with each observation. The two steps balance
/// where a twentieth of the observations exceed the estimate.
auto ObservePercentile(ServiceTime& time, Duration observed) -> void {
  if (time.samples < kSamplesForPercentile) {
    time.percentile95 = time.mean + kInitialDeviations * time.deviation;
    return;
  }
  const double part =
      observed > time.percentile95 ? kPercentile : kPercentile - 1;
  time.percentile95 += std::chrono::duration_cast<Duration>(
      kPercentileStep * part * time.deviation);
}

}  // namespace

auto ObserveServiceTime(ServiceTime& time, Duration observed) -> void {
  ++time.samples;
  const double weight =
      std::max(kEwmaWeight, 1.0 / static_cast<double>(time.samples));
  const Duration difference = observed - time.mean;
  time.mean += std::chrono::duration_cast<Duration>(weight * difference);
  const Duration distance =
      difference < Duration::zero() ? -difference : difference;
  time.deviation += std::chrono::duration_cast<Duration>(
      weight * (distance - time.deviation));
  ObservePercentile(time, observed);
}

auto EstimateServiceTime(const ServiceTime& time) -> Duration {
  return time.mean + time.deviation;
}

}  // namespace fireflythread
