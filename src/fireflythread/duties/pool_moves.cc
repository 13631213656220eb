#include <algorithm>
#include <map>
#include <vector>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"

namespace fireflythread {
namespace {

/// Returns the number of workers that serve `millicores` with the headroom of
/// the default capacity profile, plus the reserve.
auto RequiredWorkers(std::int64_t millicores, std::int64_t worker_millicores)
    -> int {
  const std::int64_t usable = worker_millicores * kTargetUsePercent / 100;
  const std::int64_t workers = (millicores + usable - 1) / usable;
  return static_cast<int>(workers) + kReserveWorkers;
}

/// Computes how many workers a pool needs for its running and waiting tasks.
auto MeasureNeed(const PoolLoad& load,
                 std::int64_t worker_millicores,
                 PoolNeed& need) -> void {
  std::int64_t used = load.waiting_millicores;
  int long_running_workers = 0;
  for (const auto& [id, worker] : load.workers) {
    used += worker.used_millicores;
    long_running_workers += worker.long_running_tasks > 0 ? 1 : 0;
  }
  const std::int64_t in_time =
      std::max(used - load.late_millicores, load.arriving_millicores);
  need.needed = std::max(RequiredWorkers(in_time, worker_millicores),
                         long_running_workers);
  need.long_running_workers = long_running_workers;
  need.needed_with_late_work =
      std::max(RequiredWorkers(used, worker_millicores), need.needed);
}

/// Counts the VMs of a pool, including those that move to it and excluding
/// those that move away.
auto CountSupply(const DutyState& state, const ServiceName& pool) -> int {
  return static_cast<int>(std::count_if(
      state.machines.begin(), state.machines.end(),
      [&](const auto& entry) -> bool {
        const auto duty = state.duties.find(entry.first);
        const bool moves = duty != state.duties.end() && !duty->second.wave;
        return (moves ? duty->second.target : entry.second.pool) == pool;
      }));
}

/// Counts the VMs of a pool that are in upkeep or drained for it.
auto CountUpkeeps(const DutyState& state, const ServiceName& pool) -> int {
  return static_cast<int>(std::count_if(
      state.duties.begin(), state.duties.end(), [&](const auto& entry) -> bool {
        return entry.second.wave && entry.second.from == pool;
      }));
}

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
}

/// Starts moves of up to `count` VMs and returns their number.
auto MoveUpTo(DutyState& state,
              const ServiceName& from,
              const ServiceName& target,
              int count,
              TimePoint now) -> int {
  std::vector<MovableMachine> movable = MovableMachines(state, from, now);
  SortByUsage(movable);
  int moved = 0;
  for (const MovableMachine& candidate : movable) {
    if (moved >= count) {
      break;
    }
    BeginMove(state, *candidate.machine, target, now);
    ++moved;
  }
  return moved;
}

auto BaseSize(const DutyState& state, const ServiceName& pool) -> int {
  const auto size = state.base_sizes.find(pool);
  return size == state.base_sizes.end() ? 0 : size->second;
}

/// Returns how many VMs a pool can lend to pools with a shortage. While VMs of
/// the pool are in upkeep, it keeps one worker more than it has workers with
/// long-running tasks. Without it, no such task could leave its VM when all of
/// them must run on different workers.
auto CountLendable(const DutyState& state,
                   const ServiceName& pool,
                   const PoolNeed& need) -> int {
  const int upkeeps = CountUpkeeps(state, pool);
  const int long_running_workers =
      upkeeps > 0 ? need.long_running_workers + kReserveWorkers : 0;
  const int base = (BaseSize(state, pool) * kMinRetainedPercent + 99) / 100;
  const int keep = std::max({need.needed, base, long_running_workers});
  return CountSupply(state, pool) - upkeeps - keep;
}

/// Starts moves of up to `count` VMs from all pools that can lend some, those
/// with the lowest usage first.
auto Borrow(DutyState& state,
            const ServiceName& target,
            int count,
            TimePoint now) -> void {
  std::vector<MovableMachine> movable;
  std::map<ServiceName, int> lendable;
  for (const auto& [donor, need] : state.needs) {
    lendable[donor] = donor == target ? 0 : CountLendable(state, donor, need);
    if (lendable[donor] > 0) {
      const auto some = MovableMachines(state, donor, now);
      movable.insert(movable.end(), some.begin(), some.end());
    }
  }
  SortByUsage(movable);
  for (const MovableMachine& candidate : movable) {
    int& left = lendable[candidate.machine->pool];
    if (count > 0 && left > 0) {
      BeginMove(state, *candidate.machine, target, now);
      --left;
      --count;
    }
  }
}

auto UpdateNeeds(DutyState& state, TimePoint now) -> void {
  const std::int64_t largest = LargestWorker(state);
  for (const ServiceName& pool : state.pools) {
    const auto load = state.loads.find(pool);
    if (load == state.loads.end()) {
      continue;
    }
    PoolNeed& need = state.needs[pool];
    MeasureNeed(load->second, largest, need);
    const int wanted =
        std::max(need.needed_with_late_work, BaseSize(state, pool));
    const bool low = wanted < CountSupply(state, pool);
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
  UpdateNeeds(state, now);
  for (const auto& [pool, need] : state.needs) {
    int lacking = need.needed - CountSupply(state, pool);
    if (lacking <= 0) {
      continue;
    }
    lacking -= MoveUpTo(state, state.spare_pool, pool, lacking, now);
    if (lacking > 0) {
      Borrow(state, pool, lacking, now);
    }
  }
  for (const auto& [pool, need] : state.needs) {
    const int wanted =
        std::max(need.needed_with_late_work, BaseSize(state, pool));
    const int surplus = CountSupply(state, pool) - wanted;
    if (surplus > 0 && need.low && now - need.low_since >= kReleaseAfter) {
      MoveUpTo(state, pool, state.spare_pool, surplus, now);
    }
  }
}

}  // namespace fireflythread
