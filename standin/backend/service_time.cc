#include "standin/backend/service_time.h"

#include <cmath>
#include <random>

namespace fireflythread::standin {

auto DrawServiceTime(const ServiceTime& times,
                     const std::string& urgency,
                     Random& random) -> std::chrono::milliseconds {
  const auto known = times.medians_ms.find(urgency);
  const double median =
      known == times.medians_ms.end() ? times.default_ms : known->second;
  std::normal_distribution<double> normal(0, 1);
  const double factor = std::exp(times.sigma * normal(random));
  return std::chrono::milliseconds(std::llround(median * factor));
}

}  // namespace fireflythread::standin
