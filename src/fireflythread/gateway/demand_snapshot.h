#ifndef FIREFLYTHREAD_GATEWAY_DEMAND_SNAPSHOT_H_
#define FIREFLYTHREAD_GATEWAY_DEMAND_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Demand of one service at this entry since the last report, in the fields
/// of the peer message DemandReport.Service.
struct EntryServiceDemand {
  ServiceName service;
  double arrivals_per_second = 0;
  int in_flight = 0;
  int queued = 0;
  double shed_per_second = 0;
  double mean_service_seconds = 0;
  double answered_in_time_ratio = 1;
};

/// State of one worker as seen from this entry.
struct WorkerDemand {
  VmId vm;
  int in_flight = 0;
  bool ejected = false;
  std::string reason;
};

/// What the entry reports to the controller every second.
struct DemandSnapshot {
  std::vector<EntryServiceDemand> services;
  std::vector<WorkerDemand> workers;
  std::uint64_t config_version = 0;
  std::uint64_t fleet_version = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_DEMAND_SNAPSHOT_H_
