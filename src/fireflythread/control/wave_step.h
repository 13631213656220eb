#ifndef FIREFLYTHREAD_CONTROL_WAVE_STEP_H_
#define FIREFLYTHREAD_CONTROL_WAVE_STEP_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/moves.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/control/wave_select.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Whether a selector takes a VM.
[[nodiscard]] auto MatchesSelector(const WaveSelector& selector,
                                   const VmRecord& record) -> bool;

/// VMs that a pool of this size may have out at once: its profile's share, at
/// least one.
[[nodiscard]] auto MaxUnavailableVms(const PoolPolicy& policy, int size) -> int;

/// Starts declared waves by choosing their VMs, drops VMs without a row, and
/// finishes waves that have none left. Waves that end in this step get no more
/// VMs.
auto AdvanceWaves(const ControllerInputs& inputs, FleetDraft& draft) -> void;

/// What running waves ask of the moves.
[[nodiscard]] auto PlanLending(const ControllerInputs& inputs,
                               const PoolPolicies& policies,
                               const FleetSummary& summary,
                               const FleetDraft& draft) -> WaveLending;

/// What each pool allows now, after the step's moves.
[[nodiscard]] auto MakeAllowances(const ControllerInputs& inputs,
                                  const PoolPolicies& policies,
                                  const ReservePlan& plan,
                                  const FleetSummary& summary)
    -> WaveAllowances;

/// Serving VMs of the spare pool that a wave must leave: the reserve, but with
/// none out one VM may always go, or a wave would never end.
[[nodiscard]] auto SpareVmsToLeave(int reserve,
                                   int serving,
                                   int wave_unavailable) -> int;

/// The VMs that running waves could take in this step.
[[nodiscard]] auto FindCandidates(const ControllerInputs& inputs,
                                  const FleetSummary& summary,
                                  const FleetDraft& draft)
    -> std::vector<WaveCandidate>;

/// Drains the VMs that the budgets let the running waves take.
auto DrainWaveVms(const ControllerInputs& inputs,
                  const PoolPolicies& policies,
                  const ReservePlan& plan,
                  FleetSummary& summary,
                  ControllerMemory& memory,
                  FleetDraft& draft,
                  ControllerReport& report) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_STEP_H_
