#ifndef FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_
#define FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_

#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Observed time that requests take on a worker: exponentially weighted mean
/// and mean deviation, and an estimate of the 95th percentile. Declared run
/// times are too inaccurate to be used.
struct ServiceTime {
  Duration mean{0};
  Duration deviation{0};
  Duration percentile95{0};
  std::uint64_t samples = 0;
};

auto ObserveServiceTime(ServiceTime& time, Duration observed) -> void;

/// A time that most requests do not exceed; 0 while nothing is known.
[[nodiscard]] auto EstimateServiceTime(const ServiceTime& time) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_SERVICE_TIME_H_
