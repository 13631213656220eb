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

/// All that the controller decides on. The pointers are never null and stay
/// valid during the call.
struct ControllerInputs {
  const ConfigSnapshot* config = nullptr;
  const FleetView* fleet = nullptr;
  /// Version of the `fleet/head` row; 0 when it is absent.
  std::uint64_t fleet_head_row_version = 0;
  /// No value until the VM list has been read.
  std::optional<std::vector<ListedVm>> vm_list;
  std::map<WaveId, WaveRecord> waves;
  /// Summed over entries; see AddDemand.
  std::map<ServiceName, ServiceDemand> demand;
  /// All registered entries that have not left, this one included.
  std::map<EntryId, MemberState> members;
  /// All members that the settings name, registered or not.
  std::size_t cell_size = 0;
  /// Probes of the VMs that are not in kServing, at the least.
  std::map<VmId, VmProbe> probes;
  std::map<VmId, WorkerFault> faults;
  /// VMs that hold long tasks; see VmsWithTasks. Their drains wait until the
  /// tasks are checkpointed, at most `limits.task_drain_timeout`.
  std::set<VmId> task_vms;
  /// The number in the `lease/controller_epoch` row, used as fencing token,
  /// and the row's version, a condition of every write.
  std::uint64_t epoch = 0;
  std::uint64_t epoch_row_version = 0;
  ControllerLimits limits;
  TimePoint now;
  /// For maintenance windows only.
  WallTime wall_time;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_INPUTS_H_
