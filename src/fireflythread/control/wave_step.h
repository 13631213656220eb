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

/// Returns whether the selector matches the VM.
[[nodiscard]] auto MatchesSelector(const WaveSelector& selector,
                                   const VmRecord& record) -> bool;

/// Returns how many VMs a pool of `size` VMs may have unavailable at once: the
/// fraction `max_unavailable`, rounded down, but at least one.
[[nodiscard]] auto MaxUnavailableVms(const PoolPolicy& policy, int size) -> int;

/// Starts declared waves by choosing their VMs, removes VMs without a row from
/// running waves, and finishes running waves that have no remaining VM. The
/// later stages of the step see the new states, so a wave that finishes here
/// drains no more VMs.
auto AdvanceWaves(const ControllerInputs& inputs, FleetDraft& draft) -> void;

/// Returns what running waves require from the moves between pools.
[[nodiscard]] auto PlanLending(const ControllerInputs& inputs,
                               const PoolPolicies& policies,
                               const FleetSummary& summary,
                               const FleetDraft& draft) -> WaveLending;

/// Returns the budgets of each pool after the moves of this step.
[[nodiscard]] auto MakeAllowances(const ControllerInputs& inputs,
                                  const PoolPolicies& policies,
                                  const ReservePlan& plan,
                                  const FleetSummary& summary)
    -> WaveAllowances;

/// Returns how many serving VMs of the spare pool a wave must leave: the
/// reserve, but while no VM of the spare pool is unavailable for a wave one VM
/// may always be drained, because otherwise a wave could never finish.
[[nodiscard]] auto SpareVmsToLeave(int reserve,
                                   int serving,
                                   int wave_unavailable) -> int;

/// Returns the VMs that running waves could drain in this step.
[[nodiscard]] auto FindCandidates(const ControllerInputs& inputs,
                                  const FleetSummary& summary,
                                  const FleetDraft& draft)
    -> std::vector<WaveCandidate>;

/// Starts draining the VMs that running waves may drain within the budgets of
/// the pools, and reports the blocked ones.
auto DrainWaveVms(const ControllerInputs& inputs,
                  const PoolPolicies& policies,
                  const ReservePlan& plan,
                  FleetSummary& summary,
                  ControllerMemory& memory,
                  FleetDraft& draft,
                  ControllerReport& report) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_STEP_H_
