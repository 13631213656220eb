#include "fireflythread/control/service_demand.h"

#include <algorithm>

namespace fireflythread {

auto AddDemand(ServiceDemand& sum, const ServiceDemand& report) -> void {
  const double arrivals = sum.arrivals_per_second + report.arrivals_per_second;
  if (arrivals > 0) {
    const double share = report.arrivals_per_second / arrivals;
    sum.mean_service_seconds +=
        share * (report.mean_service_seconds - sum.mean_service_seconds);
    sum.answered_in_time_ratio +=
        share * (report.answered_in_time_ratio - sum.answered_in_time_ratio);
  }
  sum.arrivals_per_second = arrivals;
  sum.in_flight += report.in_flight;
  sum.queued += report.queued;
  sum.shed_per_second += report.shed_per_second;
}

auto SlotsNeeded(const ServiceDemand& demand) -> double {
  const double offered =
      demand.arrivals_per_second * demand.mean_service_seconds;
  return std::max(offered, demand.in_flight) +
         demand.queued * demand.mean_service_seconds;
}

}  // namespace fireflythread
