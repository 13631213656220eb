#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"
#include "fireflythread/duties/pool_need.h"
#include "fireflythread/duties/pool_supply.h"
#include "fireflythread/jobs/pool_part.h"

namespace fireflythread {
namespace {

auto LargestWorker(const DutyState& state) -> std::int64_t {
  std::int64_t largest = 1;
  for (const auto& [vm, machine] : state.machines) {
    largest = std::max(largest, machine.capacity.millicores);
  }
  return largest;
}

/// Returns whether a VM may move again after its last move.
auto IsMoveCooldownOver(const DutyState& state, const VmId& vm, TimePoint now)
    -> bool {
  const auto settled = state.next_move_at.find(vm);
  return settled == state.next_move_at.end() || now >= settled->second;
}

/// A VM that may move, with the usage of its worker's tasks.
struct MovableMachine {
  const MachineView* machine = nullptr;
  std::int64_t used_millicores = 0;
};

/// Returns the VMs of a pool that may move now. Workers with long-running tasks
/// don't move. A VM of the spare pool may move at once: it does no work there,
/// and a load peak may begin right after another pool has released the VM.
auto MovableMachines(const DutyState& state,
                     const ServiceName& pool,
                     TimePoint now) -> std::vector<MovableMachine> {
  std::vector<MovableMachine> movable;
  const auto load = state.loads.find(pool);
  for (const auto& [vm, machine] : state.machines) {
    const bool free =
        machine.pool == pool && machine.state == MachineState::kUp &&
        !state.duties.contains(vm) && !state.former_orders.contains(vm) &&
        (pool == state.spare_pool || IsMoveCooldownOver(state, vm, now));
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
          worker->second.long_running_tasks > 0) {
        continue;
      }
      used = worker->second.used_millicores;
    }
    movable.push_back({&machine, used});
  }
  return movable;
}

/// Sorts by usage, lowest first. An idle VM can move at once, while a busy one
/// must finish its tasks first and accepts work of neither pool meanwhile.
auto SortByUsage(std::vector<MovableMachine>& movable) -> void {
  std::stable_sort(
      movable.begin(), movable.end(),
      [](const MovableMachine& left, const MovableMachine& right) -> bool {
        return left.used_millicores < right.used_millicores;
      });
}

auto BeginMove(DutyState& state,
               PoolSupplies& supplies,
               const MachineView& machine,
               const ServiceName& target,
               TimePoint now) -> void {
  Duty duty;
  duty.vm = machine.vm;
  duty.worker = machine.worker;
  duty.from = machine.pool;
  duty.target = target;
  duty.since = now;
  duty.phase = machine.pool == state.spare_pool ? DutyPhase::kReady
                                                : DutyPhase::kDraining;
  state.duties.emplace(machine.vm, std::move(duty));
  PoolSupply& supply = supplies[machine.pool];
  --supply.vms;
  ++supplies[target].vms;
  supply.returning += target == state.spare_pool ? 1 : 0;
  if (!machine.worker.empty()) {
    --PartSupplyOf(supply, machine);
  }
}

auto BaseSize(const DutyState& state, const ServiceName& pool) -> int {
  const auto size = state.base_sizes.find(pool);
  return size == state.base_sizes.end() ? 0 : size->second;
}

/// Returns how many VMs a pool keeps while other pools need some.
auto RetainedVms(const DutyState& state, const ServiceName& pool) -> int {
  return (BaseSize(state, pool) * kMinRetainedPercent + 99) / 100;
}

/// Returns whether a part of a pool can spare a VM for a target. The jobs of a
/// part run on its own workers only, so each part keeps what it needs and its
/// share of what the pool keeps. Late work keeps workers from the spare pool
/// only.
auto CanPartSpare(const DutyState& state,
                  PoolSupply& supply,
                  const MachineView& machine,
                  const ServiceName& target) -> bool {
  const int count = PartCount(state, machine.pool);
  const auto need = state.needs.find(machine.pool);
  if (count == 1 || machine.worker.empty() || need == state.needs.end()) {
    return true;
  }
  const auto index =
      static_cast<std::size_t>(PartOfWorker(machine.worker, count));
  const int share = RetainedVms(state, machine.pool) / count;
  const std::vector<PartNeed>& needs = need->second.part_needs;
  const PartNeed part = index < needs.size() ? needs[index] : PartNeed{};
  const int needed =
      target == state.spare_pool ? part.needed_with_late_work : part.needed;
  return PartSupplyOf(supply, machine) > std::max(share, needed);
}

/// Starts moves of up to `count` VMs and returns their number.
auto MoveUpTo(DutyState& state,
              PoolSupplies& supplies,
              const ServiceName& from,
              const ServiceName& target,
              int count,
              TimePoint now) -> int {
  if (count <= 0) {
    return 0;
  }
  std::vector<MovableMachine> movable = MovableMachines(state, from, now);
  SortByUsage(movable);
  int moved = 0;
  for (const MovableMachine& candidate : movable) {
    if (moved >= count) {
      break;
    }
    if (from != state.spare_pool &&
        !CanPartSpare(state, supplies[from], *candidate.machine, target)) {
      continue;
    }
    BeginMove(state, supplies, *candidate.machine, target, now);
    ++moved;
  }
  return moved;
}

/// Returns how many VMs a pool can lend to pools with a shortage. While VMs of
/// the pool are in upkeep, it keeps one worker more than it has workers with
/// long-running tasks. Without it, no such task could leave its VM when all of
/// them must run on different workers.
auto CountLendable(const DutyState& state,
                   const PoolSupply& supply,
                   const ServiceName& pool,
                   const PoolNeed& need) -> int {
  const int upkeeps = supply.upkeeps;
  const int long_running_workers =
      upkeeps > 0 ? need.long_running_workers + kReserveWorkers : 0;
  const int keep =
      std::max({need.needed, RetainedVms(state, pool), long_running_workers});
  return supply.vms - upkeeps - keep;
}

/// Which VMs a pool may borrow: all that others can lend, for work in time, or
/// only those that run nothing and that no work needs, for late work.
enum class Lending : std::uint8_t { kAll, kIdle };

/// Starts moves of up to `count` VMs from all pools that can lend some, those
/// with the lowest usage first.
auto Borrow(DutyState& state,
            PoolSupplies& supplies,
            const ServiceName& target,
            Lending lending,
            int count,
            TimePoint now) -> void {
  std::vector<MovableMachine> movable;
  std::map<ServiceName, int> lendable;
  for (const auto& [donor, need] : state.needs) {
    lendable[donor] = donor == target
                          ? 0
                          : CountLendable(state, supplies[donor], donor, need);
    if (lending == Lending::kIdle) {
      const PoolSupply& supply = supplies[donor];
      lendable[donor] =
          std::min(lendable[donor],
                   supply.vms - supply.upkeeps - need.needed_with_late_work);
    }
    if (lendable[donor] > 0) {
      const auto some = MovableMachines(state, donor, now);
      movable.insert(movable.end(), some.begin(), some.end());
    }
  }
  SortByUsage(movable);
  for (const MovableMachine& candidate : movable) {
    int& left = lendable[candidate.machine->pool];
    const ServiceName& donor = candidate.machine->pool;
    const bool may_go =
        lending == Lending::kAll || candidate.used_millicores == 0;
    if (count > 0 && left > 0 && may_go &&
        CanPartSpare(state, supplies[donor], *candidate.machine, target)) {
      BeginMove(state, supplies, *candidate.machine, target, now);
      --left;
      --count;
    }
  }
}

/// What the parts of a pool lack in sum, although the pool as a whole may have
/// enough.
struct PartLack {
  /// Workers for tasks that no end of a finite task makes room for.
  int in_time = 0;
  int blocked_late_work = 0;
  /// Workers for the sum of the cores, late work included.
  int with_late_work = 0;
};

auto MeasurePartLack(const PoolNeed& need, const PoolSupply& supply)
    -> PartLack {
  PartLack lack;
  const std::size_t parts =
      std::min(need.part_needs.size(), supply.parts.size());
  for (std::size_t index = 0; index < parts; ++index) {
    const PartNeed& part = need.part_needs[index];
    const int unlisted = supply.unlisted[index];
    lack.in_time += std::max(0, part.lacking - unlisted);
    lack.blocked_late_work +=
        std::max(0, part.lacking_with_late_work - unlisted);
    lack.with_late_work +=
        std::max(0, part.cores_with_late_work - supply.parts[index]);
  }
  return lack;
}

/// Returns how many VMs to bring for parts that lack some. A VM that joins a
/// pool belongs to any of its parts, so as many as there are parts bring one to
/// each on average.
auto CountToBring(int lack, const PoolSupply& supply) -> int {
  const auto parts = static_cast<int>(supply.parts.size());
  return lack * parts - CountArriving(supply);
}

/// Starts moves to the pools that lack VMs for work that can be in time, and
/// then to the parts that do, which a pool with enough VMs may have.
auto ServeWorkInTime(DutyState& state, PoolSupplies& supplies, TimePoint now)
    -> void {
  for (const auto& [pool, need] : state.needs) {
    int lacking = need.needed - supplies[pool].vms;
    if (lacking <= 0) {
      continue;
    }
    lacking -= MoveUpTo(state, supplies, state.spare_pool, pool, lacking, now);
    if (lacking > 0) {
      Borrow(state, supplies, pool, Lending::kAll, lacking, now);
    }
  }
  for (const auto& [pool, need] : state.needs) {
    const PoolSupply& supply = supplies[pool];
    const int lacking =
        CountToBring(MeasurePartLack(need, supply).in_time, supply);
    MoveUpTo(state, supplies, state.spare_pool, pool, lacking, now);
  }
}

/// Returns how many VMs to bring to a pool for its late work.
auto CountForLateWork(const PoolNeed& need, const PoolSupply& supply) -> int {
  const PartLack lack = MeasurePartLack(need, supply);
  return std::max(lack.with_late_work - CountArriving(supply),
                  CountToBring(lack.blocked_late_work, supply));
}

/// Starts moves to the pools that lack VMs for late work, of VMs that no pool
/// needs. Only work that can't run at all otherwise gets VMs of other pools.
auto ServeLateWork(DutyState& state, PoolSupplies& supplies, TimePoint now)
    -> void {
  for (const auto& [pool, need] : state.needs) {
    const PoolSupply& supply = supplies[pool];
    const int lacking = std::max(need.needed_with_late_work - supply.vms,
                                 CountForLateWork(need, supply));
    MoveUpTo(state, supplies, state.spare_pool, pool, lacking, now);
    const int blocked =
        MeasurePartLack(need, supply).blocked_late_work - CountArriving(supply);
    if (blocked > 0) {
      Borrow(state, supplies, pool, Lending::kIdle, blocked, now);
    }
  }
}

/// Starts moves to the spare pool from the pools that keep more than they need.
auto ReleaseSurplus(DutyState& state, PoolSupplies& supplies, TimePoint now)
    -> void {
  for (const auto& [pool, need] : state.needs) {
    const int wanted =
        std::max(need.needed_with_late_work, BaseSize(state, pool));
    const int surplus = supplies[pool].vms - wanted;
    if (surplus > 0 && need.low && now - need.low_since >= kReleaseAfter) {
      MoveUpTo(state, supplies, pool, state.spare_pool, surplus, now);
    }
  }
}

/// Sends idle VMs of parts that need fewer to the spare pool while other parts
/// of the same pool lack some: when they come back, each belongs to any of the
/// parts.
auto ReturnMisplaced(DutyState& state, PoolSupplies& supplies, TimePoint now)
    -> void {
  for (const auto& [pool, need] : state.needs) {
    PoolSupply& supply = supplies[pool];
    int count = CountForLateWork(need, supply) - supply.returning;
    if (count <= 0 || PartCount(state, pool) == 1) {
      continue;
    }
    for (const MovableMachine& candidate : MovableMachines(state, pool, now)) {
      if (count > 0 && candidate.used_millicores == 0 &&
          CanPartSpare(state, supply, *candidate.machine, state.spare_pool)) {
        BeginMove(state, supplies, *candidate.machine, state.spare_pool, now);
        --count;
      }
    }
  }
}

auto UpdateNeeds(DutyState& state, PoolSupplies& supplies, TimePoint now)
    -> void {
  const std::int64_t largest = LargestWorker(state);
  for (const ServiceName& pool : state.pools) {
    const auto load = state.loads.find(pool);
    if (load == state.loads.end()) {
      continue;
    }
    PoolNeed& need = state.needs[pool];
    MeasureNeed(state, pool, largest, need);
    const int wanted =
        std::max(need.needed_with_late_work, BaseSize(state, pool));
    const bool low = wanted < supplies[pool].vms;
    if (low && !need.low) {
      need.low_since = now;
    }
    need.low = low;
  }
}

}  // namespace

auto PlanMoves(DutyState& state, TimePoint now) -> void {
  if (!state.has_machine_list || state.spare_pool.empty()) {
    return;
  }
  PoolSupplies supplies = CountSupplies(state);
  UpdateNeeds(state, supplies, now);
  ServeWorkInTime(state, supplies, now);
  ServeLateWork(state, supplies, now);
  ReleaseSurplus(state, supplies, now);
  ReturnMisplaced(state, supplies, now);
}

}  // namespace fireflythread
