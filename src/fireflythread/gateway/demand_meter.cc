#include "fireflythread/gateway/demand_meter.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// The first report has no earlier one to count from.
constexpr double kFirstInterval = 1.0;
constexpr double kShortestInterval = 0.001;

}  // namespace

auto DemandMeter::TakeReport(TimePoint now) -> std::vector<EntryServiceDemand> {
  const double seconds =
      this->reported_at == TimePoint::min()
          ? kFirstInterval
          : std::max(
                kShortestInterval,
                std::chrono::duration<double>(now - this->reported_at).count());
  this->reported_at = now;
  std::vector<EntryServiceDemand> report;
  for (auto& [name, service] : this->services) {
    EntryServiceDemand demand;
    demand.service = name;
    demand.arrivals_per_second = service.arrivals / seconds;
    demand.shed_per_second = service.shed / seconds;
    demand.in_flight = service.in_flight;
    demand.queued = service.queued;
    demand.mean_service_seconds =
        std::chrono::duration<double>(service.time.mean).count();
    demand.answered_in_time_ratio =
        service.ended == 0
            ? 1.0
            : static_cast<double>(service.in_time) / service.ended;
    report.push_back(demand);
    service.arrivals = 0;
    service.shed = 0;
    service.ended = 0;
    service.in_time = 0;
  }
  return report;
}

}  // namespace fireflythread
