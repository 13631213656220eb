#ifndef FIREFLYTHREAD_ADMIN_FLEET_STATUS_H_
#define FIREFLYTHREAD_ADMIN_FLEET_STATUS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "fireflythread/admin/blocked_vm.h"
#include "fireflythread/admin/controller_status.h"
#include "fireflythread/admin/entry_status.h"
#include "fireflythread/admin/pool_status.h"
#include "fireflythread/admin/wave_status.h"
#include "fireflythread/fleet/vm_state.h"

namespace fireflythread::admin {

/// The overview that `fireflythreadctl status` shows on one screen.
struct FleetStatus {
  std::uint64_t config_version = 0;
  std::uint64_t fleet_version = 0;
  bool store_reachable = false;
  std::vector<EntryStatus> entries;
  ControllerStatus controller;
  std::vector<PoolStatus> pools;
  std::map<VmState, int> vms_by_state;
  /// VMs whose maintenance interval has passed.
  int maintenance_overdue = 0;
  /// Waves that are not done.
  std::vector<WaveStatus> waves;
  /// What is blocked outside of waves: moves and failed VMs.
  std::vector<BlockedVm> blocked;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_FLEET_STATUS_H_
