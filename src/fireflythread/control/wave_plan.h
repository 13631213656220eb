#ifndef FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_
#define FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_

#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/wave_select.h"

namespace fireflythread {

/// VMs that are drained together, and the time since the wave's start.
struct WaveBatch {
  Duration start{0};
  std::vector<VmId> vms;
};

/// The predicted course of a wave if the demand stays as it is now.
struct WavePlan {
  std::vector<WaveBatch> batches;
  /// False when a budget blocks the wave for good; `blocked` then says which.
  bool finishes = false;
  /// Time until the last VM serves again, or until the wave is blocked.
  Duration duration{0};
  /// Number of loans of spare VMs to pools during the wave.
  int lent = 0;
  /// VMs that could not be drained, each with the budget that prevented it:
  /// those of the first step when the wave finishes, else of the last step.
  std::vector<BlockedVm> blocked;
};

/// Selects the VMs to drain now and reduces the allowances accordingly.
using WaveStrategy = WaveSelection (*)(const std::vector<WaveCandidate>&,
                                       WaveAllowances&);

/// Simulates a declared or running wave without changing any state. The
/// simulation assumes that each VM is unavailable for
/// `memory.maintenance_time` and that loans take no time. Other strategies than
/// the default serve as baselines in benchmarks.
[[nodiscard]] auto PlanWave(const ControllerInputs& inputs,
                            const ControllerMemory& memory,
                            const WaveRecord& wave,
                            WaveStrategy strategy = SelectWaveVms) -> WavePlan;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_
