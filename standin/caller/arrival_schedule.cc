#include "standin/caller/arrival_schedule.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <random>

#include "standin/caller/weighted_names.h"

namespace fireflythread::standin {

auto ParseSteps(const std::string& text) -> std::vector<ArrivalSchedule::Step> {
  std::vector<ArrivalSchedule::Step> steps;
  for (const auto& [seconds, multiple] : ParseNames(text, 1)) {
    steps.push_back(
        {.from_seconds = std::atof(seconds.c_str()), .multiple = multiple});
  }
  return steps;
}

auto NextArrival(const ArrivalSchedule& schedule, double now, Random& random)
    -> double {
  // Draws an arrival of a process of rate 1 and stretches it by the rate.
  double left = std::exponential_distribution<double>(1)(random);
  while (true) {
    double multiple = 1;
    double end = std::numeric_limits<double>::infinity();
    for (const ArrivalSchedule::Step& step : schedule.steps) {
      if (step.from_seconds <= now) {
        multiple = step.multiple;
      } else {
        end = std::min(end, step.from_seconds);
      }
    }
    const double rate = schedule.mean_per_second * multiple;
    if (rate > 0 && left <= (end - now) * rate) {
      return now + left / rate;
    }
    if (end == std::numeric_limits<double>::infinity()) {
      return end;
    }
    left -= (end - now) * rate;
    now = end;
  }
}

}  // namespace fireflythread::standin
