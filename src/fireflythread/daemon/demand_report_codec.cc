#include "fireflythread/daemon/demand_report_codec.h"

#include "fireflythread/gateway/demand_snapshot.h"

namespace fireflythread {

auto EncodeDemandReport(const DemandSnapshot& demand) -> peer::Envelope {
  peer::Envelope envelope;
  peer::DemandReport& report = *envelope.mutable_demand_report();
  report.set_config_version(demand.config_version);
  report.set_fleet_version(demand.fleet_version);
  for (const EntryServiceDemand& service : demand.services) {
    auto& item = *report.add_services();
    item.set_service(service.service.value);
    item.set_arrivals_per_second(service.arrivals_per_second);
    item.set_in_flight(static_cast<std::uint32_t>(service.in_flight));
    item.set_queued(static_cast<std::uint32_t>(service.queued));
    item.set_shed_per_second(service.shed_per_second);
    item.set_mean_service_seconds(service.mean_service_seconds);
    item.set_answered_in_time_ratio(service.answered_in_time_ratio);
  }
  for (const WorkerDemand& worker : demand.workers) {
    // The controller acts on ejected workers only; naming all of them would
    // take most of the 20 KB a second that control may use.
    if (!worker.ejected) {
      continue;
    }
    auto& item = *report.add_workers();
    item.set_vm(worker.vm.value);
    item.set_in_flight(static_cast<std::uint32_t>(worker.in_flight));
    item.set_ejected(worker.ejected);
    item.set_reason(worker.reason);
  }
  return envelope;
}

}  // namespace fireflythread
