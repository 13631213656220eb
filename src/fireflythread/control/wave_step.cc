#include "fireflythread/control/wave_step.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/reserve.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

/// Returns the wave's record with the draft's changes applied.
auto CurrentWave(const FleetDraft& draft, const WaveRecord& wave)
    -> const WaveRecord& {
  const auto edited = draft.waves.find(wave.id);
  return edited == draft.waves.end() ? wave : edited->second;
}

template <typename Function>
auto ForEachRunningWave(const ControllerInputs& inputs,
                        const FleetDraft& draft,
                        Function&& function) -> void {
  for (const auto& [id, wave] : inputs.waves) {
    const WaveRecord& current = CurrentWave(draft, wave);
    if (current.state == WaveState::kRunning) {
      function(current);
    }
  }
}

auto StartWave(const ControllerInputs& inputs, WaveRecord& wave) -> void {
  wave.state = WaveState::kRunning;
  for (const auto& [vm, record] : inputs.fleet->vms) {
    if (MatchesSelector(wave.selector, record)) {
      wave.remaining.push_back(vm);
    }
  }
}

auto IsRowRemoved(const ControllerInputs& inputs,
                  const FleetDraft& draft,
                  const VmId& vm) -> bool {
  return !inputs.fleet->vms.contains(vm) || draft.removed.contains(vm);
}

auto AdvanceWave(const ControllerInputs& inputs,
                 const WaveRecord& wave,
                 FleetDraft& draft) -> void {
  const bool any_removed = std::any_of(
      wave.remaining.begin(), wave.remaining.end(),
      [&](const VmId& vm) { return IsRowRemoved(inputs, draft, vm); });
  if (any_removed) {
    std::erase_if(
        EditWave(draft, inputs, wave.id)->remaining,
        [&](const VmId& vm) { return IsRowRemoved(inputs, draft, vm); });
  }
  if (CurrentWave(draft, wave).remaining.empty()) {
    EditWave(draft, inputs, wave.id)->state = WaveState::kFinished;
  }
}

auto IsAvailable(const ControllerInputs& inputs, const PoolPolicy& policy)
    -> bool {
  return std::all_of(policy.services.begin(), policy.services.end(),
                     [&](const ServiceName& service) {
                       const auto demand = inputs.demand.find(service);
                       return demand == inputs.demand.end() ||
                              demand->second.arrivals_per_second <= 0 ||
                              demand->second.answered_in_time_ratio >=
                                  policy.availability;
                     });
}

/// Returns whether the VM's state allows a wave to drain it, regardless of the
/// budgets of its pool.
auto IsEligibleForWave(const VmRecord& record) -> bool {
  return (record.state == VmState::kServing ||
          record.state == VmState::kFailed) &&
         record.wave.empty() && record.next_pool.empty();
}

auto DrainVm(const ControllerInputs& inputs,
             const WaveCandidate& candidate,
             ControllerMemory& memory,
             FleetDraft& draft) -> void {
  const VmRecord& record = inputs.fleet->vms.at(candidate.vm);
  VmRecord next = record;
  next.state = VmState::kDraining;
  next.wave = candidate.wave;
  next.reason.clear();
  ChangeVm(draft, record, std::move(next));
  memory.unavailable_since[candidate.vm] = inputs.now;
}

}  // namespace

auto MatchesSelector(const WaveSelector& selector, const VmRecord& record)
    -> bool {
  switch (selector.kind) {
    case WaveSelectorKind::kAll:
      return true;
    case WaveSelectorKind::kZone:
      return record.zone.value == selector.name;
    case WaveSelectorKind::kRack:
      return record.rack.value == selector.name;
    case WaveSelectorKind::kPool:
      return record.pool.value == selector.name;
    case WaveSelectorKind::kVms:
      return std::find(selector.vms.begin(), selector.vms.end(), record.id) !=
             selector.vms.end();
  }
  return false;
}

auto MaxUnavailableVms(const PoolPolicy& policy, int size) -> int {
  constexpr double kRoundingTolerance = 1e-9;
  return std::max(1, static_cast<int>(std::floor(policy.max_unavailable * size +
                                                 kRoundingTolerance)));
}

auto AdvanceWaves(const ControllerInputs& inputs, FleetDraft& draft) -> void {
  for (const auto& [id, wave] : inputs.waves) {
    if (wave.state == WaveState::kDeclared) {
      StartWave(inputs, *EditWave(draft, inputs, id));
    } else if (wave.state == WaveState::kRunning) {
      AdvanceWave(inputs, wave, draft);
    }
  }
}

auto PlanLending(const ControllerInputs& inputs,
                 const PoolPolicies& policies,
                 const FleetSummary& summary,
                 const FleetDraft& draft) -> WaveLending {
  WaveLending lending;
  ForEachRunningWave(inputs, draft, [&](const WaveRecord& wave) {
    lending.remaining.insert(wave.remaining.begin(), wave.remaining.end());
  });
  std::map<PoolName, int> remaining;
  for (const VmId& vm : lending.remaining) {
    const auto found = inputs.fleet->vms.find(vm);
    if (found != inputs.fleet->vms.end() && found->second.next_pool.empty()) {
      ++remaining[found->second.pool];
    }
  }
  for (const auto& [pool, vms] : remaining) {
    const auto policy = policies.find(pool);
    const auto state = summary.pools.find(pool);
    if (policy != policies.end() && !policy->second.spare &&
        state != summary.pools.end() &&
        IsMaintenanceOpen(policy->second, inputs.wall_time)) {
      lending.extra[pool] =
          std::min(vms, MaxUnavailableVms(policy->second, state->second.size));
    }
  }
  return lending;
}

auto MakeAllowances(const ControllerInputs& inputs,
                    const PoolPolicies& policies,
                    const ReservePlan& plan,
                    const FleetSummary& summary) -> WaveAllowances {
  WaveAllowances allowances;
  for (const auto& [name, state] : summary.pools) {
    WaveAllowance& allowance = allowances[name];
    allowance.unavailable = state.unavailable;
    allowance.serving = static_cast<int>(state.serving.size());
    const auto policy = policies.find(name);
    if (policy == policies.end()) {
      continue;
    }
    allowance.spare = policy->second.spare;
    allowance.max_unavailable_vms =
        allowance.spare ? state.size
                        : MaxUnavailableVms(policy->second, state.size);
    const auto need = plan.pools.find(name);
    allowance.needed = need == plan.pools.end() ? 0 : need->second.needed;
    if (allowance.spare) {
      allowance.needed =
          SpareVmsToLeave(ReserveKeptFromWaves(policies, plan),
                          allowance.serving, state.wave_unavailable);
    }
    allowance.window_open = IsMaintenanceOpen(policy->second, inputs.wall_time);
    allowance.available = IsAvailable(inputs, policy->second);
  }
  return allowances;
}

auto SpareVmsToLeave(int reserve, int serving, int wave_unavailable) -> int {
  return wave_unavailable > 0 ? reserve
                              : std::min(reserve, std::max(0, serving - 1));
}

auto FindCandidates(const ControllerInputs& inputs,
                    const FleetSummary& summary,
                    const FleetDraft& draft) -> std::vector<WaveCandidate> {
  std::vector<WaveCandidate> candidates;
  std::set<VmId> seen;
  ForEachRunningWave(inputs, draft, [&](const WaveRecord& wave) {
    for (const VmId& vm : wave.remaining) {
      const auto found = inputs.fleet->vms.find(vm);
      if (found == inputs.fleet->vms.end() ||
          !IsEligibleForWave(found->second) || draft.changed.contains(vm) ||
          draft.removed.contains(vm) || !seen.insert(vm).second) {
        continue;
      }
      const VmRecord& record = found->second;
      candidates.push_back({vm, wave.id, record.pool, record.rack,
                            record.state == VmState::kServing &&
                                !summary.unusable.contains(vm)});
    }
  });
  return candidates;
}

auto DrainWaveVms(const ControllerInputs& inputs,
                  const PoolPolicies& policies,
                  const ReservePlan& plan,
                  FleetSummary& summary,
                  ControllerMemory& memory,
                  FleetDraft& draft,
                  ControllerReport& report) -> void {
  const std::vector<WaveCandidate> candidates =
      FindCandidates(inputs, summary, draft);
  if (candidates.empty()) {
    return;
  }
  WaveAllowances allowances = MakeAllowances(inputs, policies, plan, summary);
  WaveSelection selection = SelectWaveVms(candidates, allowances);
  report.blocked = std::move(selection.blocked);
  for (const WaveCandidate& candidate : selection.selected) {
    if (CanChange(draft, candidate.vm)) {
      DrainVm(inputs, candidate, memory, draft);
      ++summary.wave_unavailable[candidate.wave];
    }
  }
}

}  // namespace fireflythread
