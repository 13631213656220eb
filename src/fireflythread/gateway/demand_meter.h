#ifndef FIREFLYTHREAD_GATEWAY_DEMAND_METER_H_
#define FIREFLYTHREAD_GATEWAY_DEMAND_METER_H_

#include <map>
#include <vector>

#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/demand_snapshot.h"

namespace fireflythread {

/// Counts the requests of each service between reports, and observes how long
/// they take on a worker.
class DemandMeter {
 public:
  struct Service {
    int arrivals = 0;
    int shed = 0;
    int ended = 0;
    int in_time = 0;
    int queued = 0;
    int in_flight = 0;
    ServiceTime time;
  };

  [[nodiscard]] auto Of(const ServiceName& service) -> Service& {
    return this->services[service];
  }

  /// Demand since the last call.
  [[nodiscard]] auto TakeReport(TimePoint now)
      -> std::vector<EntryServiceDemand>;

 private:
  std::map<ServiceName, Service> services;
  TimePoint reported_at = TimePoint::min();
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_DEMAND_METER_H_
