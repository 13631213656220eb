#ifndef FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_
#define FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_

namespace fireflythread {

/// Demand for one service, over all entries.
struct ServiceDemand {
  /// All arrivals, those that are shed later included.
  double arrivals_per_second = 0;
  double in_flight = 0;
  double queued = 0;
  double shed_per_second = 0;
  /// Mean time that a request holds a slot; 0 when none has finished.
  double mean_service_seconds = 0;
  /// Share of counter requests answered within their deadline.
  double answered_in_time_ratio = 1;
};

/// Adds one entry's report to a sum. Means are weighted by arrivals.
auto AddDemand(ServiceDemand& sum, const ServiceDemand& report) -> void;

/// Slots that the demand occupies when nothing is shed: arrivals times service
/// time (Little's law) or the requests in flight, whichever is more, and the
/// slots that clear the queue within a second.
[[nodiscard]] auto SlotsNeeded(const ServiceDemand& demand) -> double;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_
