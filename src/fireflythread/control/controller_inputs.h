#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_INPUTS_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_INPUTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/control/controller_limits.h"
#include "fireflythread/control/service_demand.h"
#include "fireflythread/control/vm_probe.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/control/worker_fault.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/fleet/member_state.h"
#include "fireflythread/platform/listed_vm.h"

namespace fireflythread {

/// The complete input of a controller step. The pointers must not be null and
/// must stay valid during the call.
struct ControllerInputs {
  const ConfigSnapshot* config = nullptr;
  const FleetView* fleet = nullptr;
  /// Version of the `fleet/head` row; 0 when the row does not exist.
  std::uint64_t fleet_head_row_version = 0;
  /// The platform's VM list; no value until it has been read once.
  std::optional<std::vector<ListedVm>> vm_list;
  std::map<WaveId, WaveRecord> waves;
  /// Demand by service, summed over all entries; see AddDemand.
  std::map<ServiceName, ServiceDemand> demand;
  /// All registered entries that have not left, this one included.
  std::map<EntryId, MemberState> members;
  /// Number of members in the settings, registered or not.
  std::size_t cell_size = 0;
  /// Health probe results. Contains at least the VMs that are not in kServing.
  std::map<VmId, VmProbe> probes;
  std::map<VmId, WorkerFault> faults;
  /// VMs that hold a lease of a long-running task; see VmsWithTasks. Their
  /// drains wait until the tasks are checkpointed, at most
  /// `limits.task_drain_timeout`.
  std::set<VmId> task_vms;
  /// The number in the `lease/controller_epoch` row, which is the fencing token
  /// of commands, and the row's version, a condition of every transaction.
  std::uint64_t epoch = 0;
  std::uint64_t epoch_row_version = 0;
  ControllerLimits limits;
  TimePoint now;
  /// Used for maintenance windows and intervals and for stored times. Timeouts
  /// are measured with `now`.
  WallTime wall_time;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_INPUTS_H_
