#ifndef FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_
#define FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_

#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Observed service times on workers: exponentially weighted mean and mean
/// deviation, and an estimate of the 95th percentile. Declared run times are
/// not used, because they are too inaccurate.
struct ServiceTime {
  Duration mean{0};
  Duration deviation{0};
  Duration percentile95{0};
  std::uint64_t samples = 0;
};

/// Updates the statistics with one observation.
auto ObserveServiceTime(ServiceTime& time, Duration observed) -> void;

/// Returns mean plus mean deviation, which most requests do not exceed; 0
/// while there are no observations.
[[nodiscard]] auto EstimateServiceTime(const ServiceTime& time) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_
