#ifndef FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_
#define FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_

namespace fireflythread {

/// The demand for one service, reported by one entry or summed over all.
struct ServiceDemand {
  /// Rate of all arrivals, including requests that are shed later.
  double arrivals_per_second = 0;
  double in_flight = 0;
  double queued = 0;
  double shed_per_second = 0;
  /// Mean time that a request occupies a slot; 0 when none has finished.
  double mean_service_seconds = 0;
  /// Fraction of counter requests that were answered within their deadline.
  double answered_in_time_ratio = 1;
};

/// Adds one entry's report to a sum. Means and ratios are weighted by arrival
/// rate.
auto AddDemand(ServiceDemand& sum, const ServiceDemand& report) -> void;

/// Returns the number of slots that the demand occupies when nothing is shed:
/// arrival rate times service time (Little's law) or the requests in flight,
/// whichever is more, plus the slots that clear the queue within one second.
[[nodiscard]] auto SlotsNeeded(const ServiceDemand& demand) -> double;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_SERVICE_DEMAND_H_
