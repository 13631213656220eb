#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"

namespace fireflythread {
namespace {

/// Workers that a pool needs for what runs and waits there now.
auto WorkersNeeded(const PoolLoad& load, std::int64_t worker_millicores)
    -> int {
  std::int64_t used = load.waiting_millicores;
  int lasting = 0;
  for (const auto& [id, worker] : load.workers) {
    used += worker.used_millicores;
    lasting += worker.lasting_tasks > 0 ? 1 : 0;
  }
  used = std::max(used, load.arriving_millicores);
  const std::int64_t usable = worker_millicores * kTargetUsePercent / 100;
  const auto needed = static_cast<int>((used + usable - 1) / usable);
  return std::max(needed + kReserveWorkers, lasting);
}

/// VMs of a pool, with those on their way to it and without those that leave.
auto CountSupply(const DutyState& state, const ServiceName& pool) -> int {
  int supply = 0;
  for (const auto& [vm, machine] : state.machines) {
    const auto duty = state.duties.find(vm);
    const bool moves = duty != state.duties.end() && !duty->second.wave;
    if (moves ? duty->second.target == pool : machine.pool == pool) {
      ++supply;
    }
  }
  return supply;
}

auto LargestWorker(const DutyState& state) -> std::int64_t {
  std::int64_t largest = 1;
  for (const auto& [vm, machine] : state.machines) {
    largest = std::max(largest, machine.capacity.millicores);
  }
  return largest;
}

/// VMs of a pool that may move now, the idlest first. A worker with lasting
/// tasks stays.
auto MovableMachines(const DutyState& state,
                     const ServiceName& pool,
                     TimePoint now) -> std::vector<const MachineView*> {
  std::vector<std::pair<std::int64_t, const MachineView*>> movable;
  const auto load = state.loads.find(pool);
  for (const auto& [vm, machine] : state.machines) {
    const auto settled = state.settled_at.find(vm);
    const bool free =
        machine.pool == pool && machine.state == MachineState::kUp &&
        !state.duties.contains(vm) &&
        (settled == state.settled_at.end() || now >= settled->second);
    if (!free) {
      continue;
    }
    std::int64_t used = 0;
    if (pool != state.spare_pool) {
      if (load == state.loads.end()) {
        continue;
      }
      const auto worker = load->second.workers.find(machine.worker);
      if (worker == load->second.workers.end() ||
          worker->second.lasting_tasks > 0) {
        continue;
      }
      used = worker->second.used_millicores;
    }
    movable.emplace_back(used, &machine);
  }
  std::stable_sort(movable.begin(), movable.end(),
                   [](const auto& left, const auto& right) -> bool {
                     return left.first < right.first;
                   });
  std::vector<const MachineView*> machines;
  machines.reserve(movable.size());
  for (const auto& [used, machine] : movable) {
    machines.push_back(machine);
  }
  return machines;
}

auto BeginMove(DutyState& state,
               const MachineView& machine,
               const ServiceName& target,
               TimePoint now) -> void {
  Duty duty;
  duty.vm = machine.vm;
  duty.worker = machine.worker;
  duty.from = machine.pool;
  duty.target = target;
  duty.since = now;
  duty.phase = machine.pool == state.spare_pool ? DutyPhase::kEmpty
                                                : DutyPhase::kVacating;
  state.duties.emplace(machine.vm, std::move(duty));
}

/// Moves up to `count` VMs; gives how many.
auto MoveSome(DutyState& state,
              const ServiceName& from,
              const ServiceName& target,
              int count,
              TimePoint now) -> int {
  int moved = 0;
  for (const MachineView* machine : MovableMachines(state, from, now)) {
    if (moved >= count) {
      break;
    }
    BeginMove(state, *machine, target, now);
    ++moved;
  }
  return moved;
}

auto BaseSize(const DutyState& state, const ServiceName& pool) -> int {
  const auto size = state.base_sizes.find(pool);
  return size == state.base_sizes.end() ? 0 : size->second;
}

/// VMs that a pool can lend to one that lacks some.
auto Lendable(const DutyState& state,
              const ServiceName& pool,
              const PoolNeed& need) -> int {
  const int keep = (BaseSize(state, pool) * kKeepPercent + 99) / 100;
  return CountSupply(state, pool) - std::max(need.needed, keep);
}

auto UpdateNeeds(DutyState& state, TimePoint now) -> void {
  const std::int64_t largest = LargestWorker(state);
  for (const ServiceName& pool : state.pools) {
    const auto load = state.loads.find(pool);
    if (load == state.loads.end()) {
      continue;
    }
    PoolNeed& need = state.needs[pool];
    need.needed = WorkersNeeded(load->second, largest);
    const int wanted = std::max(need.needed, BaseSize(state, pool));
    const bool low = wanted < CountSupply(state, pool);
    if (low && !need.low) {
      need.low_since = now;
    }
    need.low = low;
  }
}

}  // namespace

auto PlanMoves(DutyState& state, TimePoint now) -> void {
  if (!state.listed || state.spare_pool.empty()) {
    return;
  }
  UpdateNeeds(state, now);
  for (const auto& [pool, need] : state.needs) {
    int lacking = need.needed - CountSupply(state, pool);
    if (lacking <= 0) {
      continue;
    }
    lacking -= MoveSome(state, state.spare_pool, pool, lacking, now);
    for (const auto& [donor, donor_need] : state.needs) {
      const int surplus = Lendable(state, donor, donor_need);
      if (lacking > 0 && donor != pool && surplus > 0) {
        lacking -=
            MoveSome(state, donor, pool, std::min(lacking, surplus), now);
      }
    }
  }
  for (const auto& [pool, need] : state.needs) {
    const int wanted = std::max(need.needed, BaseSize(state, pool));
    const int surplus = CountSupply(state, pool) - wanted;
    if (surplus > 0 && need.low && now - need.low_since >= kReleaseAfter) {
      MoveSome(state, pool, state.spare_pool, surplus, now);
    }
  }
}

}  // namespace fireflythread
