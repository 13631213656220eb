#ifndef FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_
#define FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_

#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/wave_select.h"

namespace fireflythread {

/// VMs taken together, and when, from the wave's start.
struct WaveBatch {
  Duration start{0};
  std::vector<VmId> vms;
};

/// How a wave would run if demand stayed as it is now.
struct WavePlan {
  std::vector<WaveBatch> batches;
  /// False when a budget blocks the wave for good; `blocked` then says which.
  bool finishes = false;
  /// Until the last VM is back, or until the wave is blocked.
  Duration duration{0};
  /// Spare VMs lent to pools in the course of it.
  int lent = 0;
  /// VMs that could not be taken at once and the budget that kept each back:
  /// at the start when the wave finishes, else at the end.
  std::vector<BlockedVm> blocked;
};

using WaveStrategy = WaveSelection (*)(const std::vector<WaveCandidate>&,
                                       WaveAllowances&);

/// Plans a wave, declared or running, without changing anything. Each VM is
/// taken to be out for `memory.maintenance_time`, and a loan to take no time.
/// Other strategies serve as baselines.
[[nodiscard]] auto PlanWave(const ControllerInputs& inputs,
                            const ControllerMemory& memory,
                            const WaveRecord& wave,
                            WaveStrategy strategy = SelectWaveVms) -> WavePlan;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_PLAN_H_
