#include "fireflythread/duties/duties.h"

#include <algorithm>
#include <utility>

#include "fireflythread/duties/duty_limits.h"

namespace fireflythread {
namespace {

auto IsWaveDone(const DutyState& state, const WaveProgress& wave) -> bool {
  return std::all_of(wave.request.vms.begin(), wave.request.vms.end(),
                     [&](const VmId& vm) -> bool {
                       const auto missing_lists = state.missing_lists.find(vm);
                       return wave.done.contains(vm) ||
                              (missing_lists != state.missing_lists.end() &&
                               missing_lists->second >= kGoneAfterMissingLists);
                     });
}

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

/// Counts the VMs of a pool with a duty, either a move or an upkeep.
auto CountUnavailable(const DutyState& state, const ServiceName& pool) -> int {
  return static_cast<int>(std::count_if(
      state.duties.begin(), state.duties.end(),
      [&pool](const auto& entry) { return entry.second.from == pool; }));
}

auto CountMachines(const DutyState& state, const ServiceName& pool) -> int {
  return static_cast<int>(std::count_if(
      state.machines.begin(), state.machines.end(),
      [&pool](const auto& entry) { return entry.second.pool == pool; }));
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

/// Returns the upper limit of unavailable VMs of a pool.
auto MaxUnavailable(const DutyState& state, const ServiceName& pool) -> int {
  return std::max(1, CountMachines(state, pool) / kUnavailableDivisor);
}

/// Returns whether a wave must start upkeeps in a pool even during a load peak:
/// the remaining VMs, of which only a few may be unavailable at a time, need
/// all of the remaining time, or the period in which upkeeps may be deferred is
/// over.
auto IsUrgent(const DutyState& state,
              const WaveProgress& wave,
              const ServiceName& pool,
              TimePoint now) -> bool {
  const auto left = static_cast<int>(std::count_if(
      wave.request.vms.begin(), wave.request.vms.end(),
      [&](const VmId& vm) -> bool {
        const auto machine = state.machines.find(vm);
        return !wave.done.contains(vm) && machine != state.machines.end() &&
               machine->second.pool == pool;
      }));
  const int at_once = MaxUnavailable(state, pool);
  const int rounds = (left + at_once - 1) / at_once;
  const TimePoint end = wave.declared_at + wave.request.duration;
  return now + rounds * kUpkeepDuration >= end ||
         now >= wave.declared_at + wave.request.duration / kDeferralDivisor;
}

/// Returns whether a pool has fewer available VMs than its work needs now.
auto HasCapacityShortage(const DutyState& state, const ServiceName& pool)
    -> bool {
  const auto need = state.needs.find(pool);
  return need != state.needs.end() &&
         need->second.needed >
             CountMachines(state, pool) - CountUnavailable(state, pool);
}

/// Returns whether a VM's upkeep may start while its wave is not urgent. VMs of
/// a pool with a load peak are deferred, except those with long-running tasks:
/// they are drained one at a time and need the whole duration of the wave.
auto MayStartBeforeUrgent(const DutyState& state, const MachineView& machine)
    -> bool {
  if (!HasCapacityShortage(state, machine.pool)) {
    return true;
  }
  return LoadOf(state, machine).long_running_tasks > 0 &&
         CountUnavailable(state, machine.pool) == 0;
}

auto PlanWave(DutyState& state, WaveProgress& wave, TimePoint now) -> void {
  std::vector<const MachineView*> candidates;
  for (const VmId& vm : wave.request.vms) {
    const auto machine = state.machines.find(vm);
    if (machine != state.machines.end() && !wave.done.contains(vm) &&
        !state.duties.contains(vm) && !state.former_orders.contains(vm) &&
        machine->second.state == MachineState::kUp) {
      candidates.push_back(&machine->second);
    }
  }
  // Idle VMs first: they need no draining and are down only for their upkeep.
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&state](const MachineView* left, const MachineView* right) -> bool {
        const auto key = [&state](const MachineView& machine) {
          const WorkerLoad load = LoadOf(state, machine);
          return std::make_pair(load.long_running_tasks, load.used_millicores);
        };
        return key(*left) < key(*right);
      });
  int down = CountDown(state, wave.request);
  for (const MachineView* machine : candidates) {
    if (down >= wave.request.cap) {
      return;
    }
    if (!MayStartBeforeUrgent(state, *machine) &&
        !IsUrgent(state, wave, machine->pool, now)) {
      continue;
    }
    const bool within_pool = machine->pool == state.spare_pool ||
                             CountUnavailable(state, machine->pool) <
                                 MaxUnavailable(state, machine->pool);
    if (within_pool) {
      BeginUpkeep(state, *machine, wave.request.number, now);
      ++down;
    }
  }
}

auto CountMissing(DutyState& state, const WaveProgress& wave) -> void {
  for (const VmId& vm : wave.request.vms) {
    if (state.machines.contains(vm)) {
      state.missing_lists.erase(vm);
    } else {
      ++state.missing_lists[vm];
    }
  }
}

auto MarkWaveDone(DutyState& state, const Duty& duty) -> void {
  const auto wave = state.waves.find(*duty.wave);
  if (wave != state.waves.end()) {
    wave->second.done.insert(duty.vm);
    wave->second.dirty = true;
  }
}

}  // namespace

auto ApplyMachineList(DutyState& state,
                      const std::vector<MachineView>& machines,
                      TimePoint now) -> void {
  state.machines.clear();
  for (const MachineView& machine : machines) {
    state.machines.emplace(machine.vm, machine);
  }
  if (!state.has_machine_list) {
    for (const auto& [vm, machine] : state.machines) {
      ++state.base_sizes[machine.pool];
    }
  }
  state.has_machine_list = true;
  std::erase_if(state.duties, [&](const auto& entry) -> bool {
    const Duty& duty = entry.second;
    const auto machine = state.machines.find(duty.vm);
    if (machine == state.machines.end()) {
      return true;
    }
    const MachineView& view = machine->second;
    if (duty.phase == DutyPhase::kInProgress) {
      // A list that was read before the order may still contain the old worker.
      const bool back = view.state == MachineState::kUp &&
                        view.worker != duty.worker &&
                        (duty.wave || view.pool == duty.target);
      const bool spare =
          duty.target == state.spare_pool && view.pool == duty.target;
      return back || (spare && view.state == MachineState::kUp);
    }
    const bool replaced = view.worker != duty.worker;
    return replaced && duty.phase != DutyPhase::kOrdered;
  });
  for (auto& [number, wave] : state.waves) {
    CountMissing(state, wave);
    if (!wave.completed && IsWaveDone(state, wave)) {
      wave.completed = true;
      wave.dirty = true;
    }
  }
  (void)now;
}

auto ApplyWave(DutyState& state,
               const WaveRequest& request,
               const std::set<VmId>& done,
               TimePoint now) -> void {
  const auto [entry, added] =
      state.waves.emplace(request.number, WaveProgress{});
  WaveProgress& wave = entry->second;
  if (added) {
    wave.declared_at = now;
    wave.done = done;
    wave.dirty = true;
  }
  wave.request = request;
}

auto ApplyDrained(DutyState& state,
                  const std::set<WorkerId>& drained_workers,
                  TimePoint now) -> void {
  for (auto& [vm, duty] : state.duties) {
    if (duty.phase == DutyPhase::kDraining &&
        drained_workers.contains(duty.worker)) {
      duty.phase = DutyPhase::kReady;
      duty.since = now;
    }
  }
}

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

auto ApplyFormerOrders(DutyState& state, const std::set<VmId>& vms) -> void {
  for (const VmId& vm : vms) {
    state.recorded_until[vm] = state.owned_since + kFormerOrderPause;
  }
  state.former_orders = vms;
}

auto NextOrders(DutyState& state, TimePoint now) -> std::vector<Duty> {
  std::vector<Duty> orders;
  for (auto& [vm, duty] : state.duties) {
    if (duty.phase == DutyPhase::kReady && now >= duty.not_before &&
        !state.former_orders.contains(vm) &&
        orders.size() < kMaxRecordsPerTransaction) {
      duty.phase = DutyPhase::kRecording;
      orders.push_back(duty);
    }
  }
  return orders;
}

auto ApplyRecordResult(DutyState& state,
                       const std::vector<Duty>& orders,
                       bool stored,
                       TimePoint now) -> std::vector<Duty> {
  std::vector<Duty> sent;
  for (const Duty& order : orders) {
    // A transaction without an answer may have stored the record as well.
    state.recorded_until[order.vm] = now + kFormerOrderPause;
    const auto duty = state.duties.find(order.vm);
    if (duty == state.duties.end() ||
        duty->second.phase != DutyPhase::kRecording) {
      continue;
    }
    if (stored) {
      duty->second.phase = DutyPhase::kOrdered;
      sent.push_back(duty->second);
    } else {
      duty->second.phase = DutyPhase::kReady;
      duty->second.not_before = now + kDutyRetryDelay;
    }
  }
  return sent;
}

auto RemoveExpiredRecords(DutyState& state, TimePoint now)
    -> std::vector<VmId> {
  std::vector<VmId> old;
  for (const auto& [vm, until] : state.recorded_until) {
    const auto duty = state.duties.find(vm);
    const bool open = duty != state.duties.end() &&
                      (duty->second.phase == DutyPhase::kRecording ||
                       duty->second.phase == DutyPhase::kOrdered);
    if (now >= until && !open && old.size() < kMaxRecordsPerTransaction) {
      old.push_back(vm);
    }
  }
  for (const VmId& vm : old) {
    state.recorded_until.erase(vm);
    state.former_orders.erase(vm);
  }
  return old;
}

auto ApplyOrderReply(DutyState& state,
                     const VmId& vm,
                     DutyVerdict verdict,
                     TimePoint now) -> void {
  const auto found = state.duties.find(vm);
  if (found == state.duties.end()) {
    return;
  }
  Duty& duty = found->second;
  switch (verdict) {
    case DutyVerdict::kDone:
      duty.phase = DutyPhase::kInProgress;
      duty.since = now;
      state.next_move_at[vm] = now + kMoveCooldown;
      if (!duty.worker.empty() && duty.from != state.spare_pool) {
        state.retired_workers[duty.worker] = now + kRetiredWorkerRetention;
      }
      if (duty.wave) {
        MarkWaveDone(state, duty);
      }
      break;
    case DutyVerdict::kUnknown:
    case DutyVerdict::kBusy:
      // The order is idempotent, so it may be sent again.
      duty.phase = DutyPhase::kReady;
      duty.not_before = now + kDutyRetryDelay;
      break;
    case DutyVerdict::kRefused:
    case DutyVerdict::kFenced:
      state.duties.erase(found);
      break;
  }
}

auto WorkersToDrain(const DutyState& state) -> std::set<WorkerId> {
  std::set<WorkerId> workers;
  for (const auto& [vm, duty] : state.duties) {
    if (!duty.worker.empty() && duty.from != state.spare_pool) {
      workers.insert(duty.worker);
    }
  }
  for (const auto& [worker, until] : state.retired_workers) {
    workers.insert(worker);
  }
  return workers;
}

}  // namespace fireflythread
