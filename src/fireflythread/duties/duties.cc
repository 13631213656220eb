#include "fireflythread/duties/duties.h"

#include <algorithm>

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
                       TimePoint sent_at,
                       TimePoint now) -> std::vector<Duty> {
  // After a pause of this process, another entry may own the duties.
  const bool valid = stored && now - sent_at < kRecordValidity;
  std::vector<Duty> sent;
  for (const Duty& order : orders) {
    // A transaction without an answer may have stored the record as well.
    state.recorded_until[order.vm] = now + kFormerOrderPause;
    const auto duty = state.duties.find(order.vm);
    if (duty == state.duties.end() ||
        duty->second.phase != DutyPhase::kRecording) {
      continue;
    }
    if (valid) {
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
