#ifndef STANDIN_BACKEND_SERVICE_TIME_H_
#define STANDIN_BACKEND_SERVICE_TIME_H_

#include <chrono>
#include <map>
#include <string>

#include "fireflythread/base/random.h"

namespace fireflythread::standin {

/// Log-normal service times with a median for each urgency.
struct ServiceTime {
  /// Medians in milliseconds by the value of `Fireflythread-Urgency`.
  std::map<std::string, double> medians_ms;
  /// Median of a request without a known urgency.
  double default_ms = 20;
  /// Standard deviation of the time's logarithm; 0 makes all times equal.
  double sigma = 0.5;
};

[[nodiscard]] auto DrawServiceTime(const ServiceTime& times,
                                   const std::string& urgency,
                                   Random& random) -> std::chrono::milliseconds;

}  // namespace fireflythread::standin

#endif  // STANDIN_BACKEND_SERVICE_TIME_H_
