#ifndef FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_
#define FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/controller_report.h"

namespace fireflythread {

/// A VM that a wave has not drained yet.
struct WaveCandidate {
  VmId vm;
  WaveId wave;
  PoolName pool;
  RackName rack;
  /// False for a VM that accepts no work anyway, such as a failed one. Draining
  /// it uses up no allowance.
  bool serving = true;
};

/// The budgets of one pool, which limit the VMs that waves may drain.
struct WaveAllowance {
  /// Number of VMs that may be unavailable at once.
  int max_unavailable_vms = 1;
  int unavailable = 0;
  int serving = 0;
  /// Number of serving VMs that must remain.
  int needed = 0;
  bool window_open = true;
  /// False while the ratio of requests answered in time is below the pool's
  /// availability target.
  bool available = true;
  /// True for the spare pool, where `needed` is the part of the reserve that
  /// waves must leave.
  bool spare = false;
};

using WaveAllowances = std::map<PoolName, WaveAllowance>;

/// The VMs that may be drained now, and those that a budget blocks.
struct WaveSelection {
  std::vector<WaveCandidate> selected;
  std::vector<BlockedVm> blocked;
};

/// Selects the VMs to drain now and reduces the allowances accordingly.
/// Racks whose candidates all fit into the budgets come first, then as many VMs
/// of the other racks as fit; in both passes, racks with more candidates come
/// first. No pool's allowance is left unused while the pool has a candidate.
[[nodiscard]] auto SelectWaveVms(const std::vector<WaveCandidate>& candidates,
                                 WaveAllowances& allowances) -> WaveSelection;

/// Selects a single VM, and none while any VM of any pool is
/// unavailable. Benchmarks use it as a baseline.
[[nodiscard]] auto SelectOneAtATime(
    const std::vector<WaveCandidate>& candidates,
    WaveAllowances& allowances) -> WaveSelection;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_
