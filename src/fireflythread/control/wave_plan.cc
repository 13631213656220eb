#include "fireflythread/control/wave_plan.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/moves.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/control/reserve.h"
#include "fireflythread/control/wave_step.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

/// The state of a simulated wave. `now` is the time since its start.
struct Simulation {
  PoolPolicies policies;
  int reserve = 0;
  std::vector<WaveCandidate> candidates;
  WaveAllowances allowances;
  /// Number of spare VMs lent to each pool now.
  std::map<PoolName, int> lent;
  /// Unavailable VMs, ordered by the time at which they serve again.
  std::multimap<Duration, WaveCandidate> unavailable;
  Duration now{0};
  WavePlan plan;
};

auto FindPlanCandidates(const ControllerInputs& inputs,
                        const FleetSummary& summary,
                        const WaveRecord& wave) -> std::vector<WaveCandidate> {
  const std::set<VmId> remaining(wave.remaining.begin(), wave.remaining.end());
  std::vector<WaveCandidate> candidates;
  for (const auto& [vm, record] : inputs.fleet->vms) {
    const bool chosen = wave.state == WaveState::kDeclared
                            ? MatchesSelector(wave.selector, record)
                            : remaining.contains(vm);
    if (chosen && record.wave != wave.id) {
      candidates.push_back({vm, wave.id, record.pool, record.rack,
                            record.state == VmState::kServing &&
                                !summary.unusable.contains(vm)});
    }
  }
  return candidates;
}

/// Adds the VMs that are unavailable for any wave already. They count as if
/// their drain began now.
auto AddUnavailable(const ControllerInputs& inputs,
                    const ControllerMemory& memory,
                    Simulation& simulation) -> void {
  for (const auto& [vm, record] : inputs.fleet->vms) {
    if (!record.wave.empty()) {
      simulation.unavailable.emplace(
          memory.maintenance_time,
          WaveCandidate{vm, record.wave, record.pool, record.rack, true});
    }
  }
}

auto MakeSimulation(const ControllerInputs& inputs,
                    const ControllerMemory& memory,
                    const WaveRecord& wave) -> Simulation {
  Simulation simulation;
  simulation.policies = MakePoolPolicies(*inputs.config);
  const FleetSummary summary = SummarizeFleet(inputs, FleetDraft{});
  ControllerMemory scratch = memory;
  const ReservePlan plan =
      PlanReserve(inputs, simulation.policies, summary, scratch);
  simulation.reserve = ReserveKeptFromWaves(simulation.policies, plan);
  simulation.allowances =
      MakeAllowances(inputs, simulation.policies, plan, summary);
  simulation.candidates = FindPlanCandidates(inputs, summary, wave);
  AddUnavailable(inputs, memory, simulation);
  return simulation;
}

auto CountCandidates(const Simulation& simulation) -> std::map<PoolName, int> {
  std::map<PoolName, int> counts;
  for (const WaveCandidate& candidate : simulation.candidates) {
    ++counts[candidate.pool];
  }
  return counts;
}

/// Lends one VM of the spare pool. VMs that are not in the wave are lent first.
auto LendOne(Simulation& simulation,
             const PoolName& from,
             const PoolName& to,
             int& candidates_in_spare) -> void {
  WaveAllowance& spare = simulation.allowances[from];
  if (candidates_in_spare >= spare.serving) {
    const auto moved = std::find_if(
        simulation.candidates.begin(), simulation.candidates.end(),
        [&from](const auto& candidate) { return candidate.pool == from; });
    moved->pool = to;
    --candidates_in_spare;
  }
  --spare.serving;
  ++simulation.allowances[to].serving;
  ++simulation.lent[to];
  ++simulation.plan.lent;
}

/// Returns how many spare VMs must remain. As in PlanMoves, a wave that could
/// otherwise drain no VM may borrow one VM of the reserve.
auto ReserveToKeep(const Simulation& simulation, const WaveAllowance& to)
    -> int {
  const bool stuck = simulation.unavailable.empty() && to.serving <= to.needed;
  return stuck ? 0 : simulation.reserve;
}

/// Returns the loans of pools that have no candidate left and no unavailable
/// VM.
auto ReturnLoans(Simulation& simulation,
                 const std::map<PoolName, int>& remaining) -> void {
  const auto spare =
      std::find_if(simulation.allowances.begin(), simulation.allowances.end(),
                   [](const auto& item) { return item.second.spare; });
  for (auto& [pool, vms] : simulation.lent) {
    WaveAllowance& from = simulation.allowances[pool];
    if (!remaining.contains(pool) && from.unavailable == 0) {
      from.serving -= vms;
      spare->second.serving += vms;
      vms = 0;
    }
  }
}

auto LendSpares(Simulation& simulation) -> void {
  const std::map<PoolName, int> remaining = CountCandidates(simulation);
  ReturnLoans(simulation, remaining);
  for (const auto& [name, policy] : simulation.policies) {
    const auto in_spare = remaining.find(name);
    int candidates = in_spare == remaining.end() ? 0 : in_spare->second;
    for (const auto& [pool, vms] : remaining) {
      WaveAllowance& to = simulation.allowances[pool];
      const int extra = std::min(vms + to.unavailable, to.max_unavailable_vms);
      while (policy.spare && !to.spare && to.window_open &&
             to.serving + to.unavailable < to.needed + extra &&
             simulation.allowances[name].serving >
                 ReserveToKeep(simulation, to)) {
        LendOne(simulation, name, pool, candidates);
      }
    }
  }
}

auto UpdateAllowances(const ControllerInputs& inputs, Simulation& simulation)
    -> void {
  const WallTime time =
      inputs.wall_time +
      std::chrono::duration_cast<WallTime::duration>(simulation.now);
  for (auto& [name, allowance] : simulation.allowances) {
    const auto policy = simulation.policies.find(name);
    if (policy == simulation.policies.end()) {
      continue;
    }
    allowance.window_open = IsMaintenanceOpen(policy->second, time);
    if (allowance.spare) {
      allowance.needed = SpareVmsToLeave(simulation.reserve, allowance.serving,
                                         allowance.unavailable);
    }
  }
}

auto StartBatch(const ControllerMemory& memory,
                Simulation& simulation,
                const std::vector<WaveCandidate>& selected) -> void {
  if (selected.empty()) {
    return;
  }
  WaveBatch batch{simulation.now, {}};
  std::set<VmId> ids;
  for (const WaveCandidate& candidate : selected) {
    batch.vms.push_back(candidate.vm);
    ids.insert(candidate.vm);
    simulation.unavailable.emplace(simulation.now + memory.maintenance_time,
                                   candidate);
  }
  std::erase_if(simulation.candidates, [&ids](const auto& candidate) {
    return ids.contains(candidate.vm);
  });
  simulation.plan.batches.push_back(std::move(batch));
}

/// Returns when the next maintenance window of a blocked pool opens; no value
/// when no pool is blocked by its window, or none opens within nine days.
auto NextWindowOpening(const ControllerInputs& inputs,
                       const Simulation& simulation,
                       const std::vector<BlockedVm>& blocked)
    -> std::optional<Duration> {
  const WallTime time =
      inputs.wall_time +
      std::chrono::duration_cast<WallTime::duration>(simulation.now);
  std::set<PoolName> pools;
  for (const BlockedVm& vm : blocked) {
    if (vm.budget == WaveBudget::kWindow) {
      pools.insert(vm.pool);
    }
  }
  std::optional<Duration> opening;
  for (const PoolName& pool : pools) {
    const Duration wait =
        TimeUntilMaintenance(simulation.policies.at(pool), time);
    if (wait < std::chrono::days(9)) {
      opening =
          std::min(opening.value_or(Duration::max()), simulation.now + wait);
    }
  }
  return opening;
}

auto ReturnVms(Simulation& simulation) -> void {
  const auto end = simulation.unavailable.upper_bound(simulation.now);
  for (auto it = simulation.unavailable.begin(); it != end; ++it) {
    WaveAllowance& pool = simulation.allowances[it->second.pool];
    ++pool.serving;
    pool.unavailable -= it->second.serving ? 1 : 0;
  }
  simulation.unavailable.erase(simulation.unavailable.begin(), end);
}

/// Advances the time to the next event: a VM serves again or a window opens.
/// Returns false when there is no such event.
auto AdvanceTime(const ControllerInputs& inputs,
                 Simulation& simulation,
                 const std::vector<BlockedVm>& blocked) -> bool {
  std::optional<Duration> next = NextWindowOpening(inputs, simulation, blocked);
  if (!simulation.unavailable.empty()) {
    next = std::min(next.value_or(Duration::max()),
                    simulation.unavailable.begin()->first);
  }
  if (!next.has_value()) {
    return false;
  }
  simulation.now = *next;
  ReturnVms(simulation);
  return true;
}

}  // namespace

auto PlanWave(const ControllerInputs& inputs,
              const ControllerMemory& memory,
              const WaveRecord& wave,
              WaveStrategy strategy) -> WavePlan {
  Simulation simulation = MakeSimulation(inputs, memory, wave);
  bool first = true;
  while (!simulation.candidates.empty() || !simulation.unavailable.empty()) {
    UpdateAllowances(inputs, simulation);
    LendSpares(simulation);
    WaveSelection selection =
        strategy(simulation.candidates, simulation.allowances);
    StartBatch(memory, simulation, selection.selected);
    if (first) {
      simulation.plan.blocked = selection.blocked;
      first = false;
    }
    if (!AdvanceTime(inputs, simulation, selection.blocked)) {
      simulation.plan.blocked = std::move(selection.blocked);
      simulation.plan.duration = simulation.now;
      return std::move(simulation.plan);
    }
  }
  simulation.plan.finishes = true;
  simulation.plan.duration = simulation.now;
  return std::move(simulation.plan);
}

}  // namespace fireflythread
