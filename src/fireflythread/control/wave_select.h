#ifndef FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_
#define FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/controller_report.h"

namespace fireflythread {

/// A VM that a wave has still to take.
struct WaveCandidate {
  VmId vm;
  WaveId wave;
  PoolName pool;
  RackName rack;
  /// False for a VM that takes no work anyway, such as a failed one.
  bool serving = true;
};

/// What one pool allows waves to take.
struct WaveAllowance {
  /// VMs that may be out at once.
  int max_unavailable_vms = 1;
  int unavailable = 0;
  int serving = 0;
  /// Serving VMs that must remain.
  int needed = 0;
  bool window_open = true;
  /// False when too few requests are answered in time already.
  bool available = true;
  /// True for the spare pool, where `needed` is the reserve.
  bool spare = false;
};

using WaveAllowances = std::map<PoolName, WaveAllowance>;

struct WaveSelection {
  std::vector<WaveCandidate> selected;
  std::vector<BlockedVm> blocked;
};

/// Chooses the VMs to take now and reduces the allowances accordingly. Racks
/// that fit whole come first, then as many VMs of the others as fit; within
/// each, racks with the most VMs. No pool's allowance is left unused while it
/// has a candidate.
[[nodiscard]] auto SelectWaveVms(const std::vector<WaveCandidate>& candidates,
                                 WaveAllowances& allowances) -> WaveSelection;

/// Baseline: one VM at a time over all pools.
[[nodiscard]] auto SelectOneAtATime(
    const std::vector<WaveCandidate>& candidates,
    WaveAllowances& allowances) -> WaveSelection;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_SELECT_H_
