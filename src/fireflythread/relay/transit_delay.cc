#include "fireflythread/relay/transit_delay.h"

#include <algorithm>
#include <utility>

namespace fireflythread {

auto RecordTransit(TransitDelay& transit, TimePoint sent_at, TimePoint now)
    -> Duration {
  if (now - transit.period_began >= kTransitPeriod) {
    transit.previous_min = std::exchange(transit.current_min, Duration::max());
    transit.period_began = now;
  }
  const Duration difference = now - sent_at;
  const Duration fastest =
      std::min({transit.current_min, transit.previous_min, difference});
  transit.current_min = std::min(transit.current_min, difference);
  return difference - fastest;
}

}  // namespace fireflythread
