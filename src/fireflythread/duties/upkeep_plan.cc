#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"

namespace fireflythread {
namespace {

/// A pool's VMs at one step of a wave. Counted once for all VMs of the wave, as
/// a count for each of them would grow with the square of their number.
struct PoolTally {
  int machines = 0;
  /// VMs with a duty, either a move or an upkeep.
  int unavailable = 0;
  /// VMs with an upkeep. Moves leave these out: a VM moves only when the pool
  /// can spare it, and in a peak hundreds do.
  int upkeeps = 0;
  /// VMs that the wave has still to maintain.
  int remaining = 0;
};

using PoolTallies = std::map<ServiceName, PoolTally>;

/// Returns whether a VM of a wave is down for its upkeep, or may be: it has a
/// duty of this wave, an order of a former owner, or the upkeep state.
auto MayBeDown(const DutyState& state, const VmId& vm, std::int64_t wave)
    -> bool {
  const auto duty = state.duties.find(vm);
  if (duty != state.duties.end()) {
    return duty->second.wave == wave;
  }
  const auto machine = state.machines.find(vm);
  return state.former_orders.contains(vm) ||
         (machine != state.machines.end() &&
          machine->second.state == MachineState::kUpkeep);
}

auto CountDown(const DutyState& state, const WaveRequest& wave) -> int {
  return static_cast<int>(std::count_if(
      wave.vms.begin(), wave.vms.end(), [&](const VmId& vm) -> bool {
        return MayBeDown(state, vm, wave.number);
      }));
}

/// Returns the published load of a VM's worker. It is zero for VMs of the spare
/// pool and for workers whose load is not known.
auto LoadOf(const DutyState& state, const MachineView& machine) -> WorkerLoad {
  const auto pool = state.loads.find(machine.pool);
  if (pool == state.loads.end()) {
    return {};
  }
  const auto worker = pool->second.workers.find(machine.worker);
  return worker == pool->second.workers.end() ? WorkerLoad{} : worker->second;
}

auto TallyPools(const DutyState& state, const WaveProgress& wave)
    -> PoolTallies {
  PoolTallies tallies;
  for (const auto& [vm, machine] : state.machines) {
    ++tallies[machine.pool].machines;
  }
  for (const auto& [vm, duty] : state.duties) {
    PoolTally& pool = tallies[duty.from];
    ++pool.unavailable;
    pool.upkeeps += duty.wave ? 1 : 0;
  }
  for (const VmId& vm : wave.request.vms) {
    const auto machine = state.machines.find(vm);
    if (machine != state.machines.end() && !wave.done.contains(vm)) {
      ++tallies[machine->second.pool].remaining;
    }
  }
  return tallies;
}

auto BeginUpkeep(DutyState& state,
                 const MachineView& machine,
                 std::int64_t wave,
                 TimePoint now) -> void {
  Duty duty;
  duty.vm = machine.vm;
  duty.worker = machine.worker;
  duty.from = machine.pool;
  duty.wave = wave;
  duty.since = now;
  const bool spare = machine.pool == state.spare_pool;
  duty.phase = spare || machine.worker.empty() ? DutyPhase::kReady
                                               : DutyPhase::kDraining;
  state.duties.emplace(machine.vm, std::move(duty));
}

/// Returns the upper limit of a pool's VMs in upkeep.
auto MaxUnavailable(const PoolTally& pool) -> int {
  return std::max(1, pool.machines / kUnavailableDivisor);
}

/// Returns whether a wave must start upkeeps in a pool even during a load peak:
/// the remaining VMs, of which only a few may be unavailable at a time, need
/// all of the remaining time, or the period in which upkeeps may be deferred is
/// over.
auto IsUrgent(const WaveProgress& wave, const PoolTally& pool, TimePoint now)
    -> bool {
  const int at_once = MaxUnavailable(pool);
  const int rounds = (pool.remaining + at_once - 1) / at_once;
  const TimePoint end = wave.declared_at + wave.request.duration;
  return now + rounds * kUpkeepDuration >= end ||
         now >= wave.declared_at + wave.request.duration / kDeferralDivisor;
}

/// Returns whether a pool has fewer available VMs than its work needs now.
auto HasCapacityShortage(const DutyState& state,
                         const ServiceName& name,
                         const PoolTally& pool) -> bool {
  const auto need = state.needs.find(name);
  return need != state.needs.end() &&
         need->second.needed > pool.machines - pool.unavailable;
}

/// A VM of a wave whose upkeep may start, with the load of its worker.
struct UpkeepCandidate {
  const MachineView* machine = nullptr;
  WorkerLoad load;
};

/// Returns the VMs of a wave that are up, without a duty and not done yet, idle
/// ones first: they need no draining and are down only for their upkeep.
auto FindCandidates(const DutyState& state, const WaveProgress& wave)
    -> std::vector<UpkeepCandidate> {
  std::vector<UpkeepCandidate> candidates;
  for (const VmId& vm : wave.request.vms) {
    const auto machine = state.machines.find(vm);
    if (machine != state.machines.end() && !wave.done.contains(vm) &&
        !state.duties.contains(vm) && !state.former_orders.contains(vm) &&
        machine->second.state == MachineState::kUp) {
      candidates.push_back({&machine->second, LoadOf(state, machine->second)});
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const UpkeepCandidate& left, const UpkeepCandidate& right) -> bool {
        const auto key = [](const WorkerLoad& load) {
          return std::make_pair(load.long_running_tasks, load.used_millicores);
        };
        return key(left.load) < key(right.load);
      });
  return candidates;
}

/// Returns whether a VM's upkeep may start while its wave is not urgent. VMs of
/// a pool with a load peak are deferred, except those with long-running tasks:
/// they are drained one at a time and need the whole duration of the wave.
auto MayStartBeforeUrgent(const DutyState& state,
                          const UpkeepCandidate& candidate,
                          const PoolTally& pool) -> bool {
  if (!HasCapacityShortage(state, candidate.machine->pool, pool)) {
    return true;
  }
  return candidate.load.long_running_tasks > 0 && pool.unavailable == 0;
}

auto PlanWave(DutyState& state, WaveProgress& wave, TimePoint now) -> void {
  PoolTallies tallies = TallyPools(state, wave);
  int down = CountDown(state, wave.request);
  for (const UpkeepCandidate& candidate : FindCandidates(state, wave)) {
    const MachineView* machine = candidate.machine;
    if (down >= wave.request.cap) {
      return;
    }
    PoolTally& pool = tallies[machine->pool];
    if (!MayStartBeforeUrgent(state, candidate, pool) &&
        !IsUrgent(wave, pool, now)) {
      continue;
    }
    const bool within_pool = machine->pool == state.spare_pool ||
                             pool.upkeeps < MaxUnavailable(pool);
    if (within_pool) {
      BeginUpkeep(state, *machine, wave.request.number, now);
      ++pool.unavailable;
      ++pool.upkeeps;
      ++down;
    }
  }
}

}  // namespace

auto PlanUpkeeps(DutyState& state, TimePoint now) -> void {
  if (!state.has_machine_list) {
    return;
  }
  for (auto& [number, wave] : state.waves) {
    if (!wave.completed) {
      PlanWave(state, wave, now);
    }
  }
  std::erase_if(state.retired_workers, [now](const auto& entry) -> bool {
    return now >= entry.second;
  });
  std::erase_if(state.duties, [now](const auto& entry) -> bool {
    return entry.second.phase == DutyPhase::kDraining &&
           now - entry.second.since > kDrainTimeout;
  });
}

}  // namespace fireflythread
