#ifndef STANDIN_CALLER_ARRIVAL_SCHEDULE_H_
#define STANDIN_CALLER_ARRIVAL_SCHEDULE_H_

#include <string>
#include <vector>

#include "fireflythread/base/random.h"

namespace fireflythread::standin {

/// A Poisson process whose rate is a multiple of its mean that changes over
/// time.
struct ArrivalSchedule {
  /// From `from_seconds` on, the rate is `multiple` times the mean.
  struct Step {
    double from_seconds = 0;
    double multiple = 1;
  };

  double mean_per_second = 100;
  /// In order of time; before the first step the multiple is 1.
  std::vector<Step> steps;
};

/// Parses steps such as "0:1,5:5,10:0.05" (seconds:multiple).
[[nodiscard]] auto ParseSteps(const std::string& text)
    -> std::vector<ArrivalSchedule::Step>;

/// The time in seconds of the first arrival after `now`.
[[nodiscard]] auto NextArrival(const ArrivalSchedule& schedule,
                               double now,
                               Random& random) -> double;

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_ARRIVAL_SCHEDULE_H_
