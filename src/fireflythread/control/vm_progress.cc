#include "fireflythread/control/vm_progress.h"

#include <map>
#include <utility>
#include <vector>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/controller_decision.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/reboot_progress.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

/// What the VM list shows about a VM. A VM is kUnknown before the list has been
/// read and until it has been missing for the time limit.
enum class Listing { kUnknown, kPresent, kLeaving, kMissing };

/// The VM list by VM id; `known` is false until the list has been read.
struct ListIndex {
  bool known = false;
  std::map<VmId, bool> leaving;
};

auto MakeListIndex(const ControllerInputs& inputs) -> ListIndex {
  ListIndex index;
  if (inputs.vm_list.has_value()) {
    index.known = true;
    for (const ListedVm& vm : *inputs.vm_list) {
      index.leaving[vm.id] = vm.leaving;
    }
  }
  return index;
}

/// Returns what the list shows about a VM. The list lags, so a VM is missing
/// only after it has been absent for the time limit.
auto FindListing(const ListIndex& index,
                 const ControllerInputs& inputs,
                 ControllerMemory& memory,
                 const VmId& vm) -> Listing {
  if (!index.known) {
    return Listing::kUnknown;
  }
  const auto found = index.leaving.find(vm);
  if (found != index.leaving.end()) {
    memory.missing_since.erase(vm);
    return found->second ? Listing::kLeaving : Listing::kPresent;
  }
  const TimePoint since =
      memory.missing_since.try_emplace(vm, inputs.now).first->second;
  return inputs.now - since >= inputs.limits.missing_timeout
             ? Listing::kMissing
             : Listing::kUnknown;
}

auto JoinEntries(const std::vector<EntryId>& entries) -> std::string {
  std::string text;
  for (const EntryId& entry : entries) {
    text += (text.empty() ? "" : ", ") + entry.value;
  }
  return text;
}

/// Returns whether the drain began because the VM was leaving or missing, and
/// not for a wave or a move.
auto IsLeavingDrain(const VmRecord& record) -> bool {
  return record.wave.empty() && record.next_pool.empty();
}

auto StepServing(const VmRecord& record, Listing listing, FleetDraft& draft)
    -> void {
  if (listing != Listing::kLeaving && listing != Listing::kMissing) {
    return;
  }
  VmRecord next = record;
  next.state = VmState::kDraining;
  next.reason = listing == Listing::kLeaving ? "leaving by the VM list"
                                             : "gone from the VM list";
  ChangeVm(draft, record, std::move(next));
}

auto WaitsForTasks(const ControllerInputs& inputs,
                   const ControllerMemory& memory,
                   const VmRecord& record) -> bool {
  const auto timer = memory.timers.find(record.id);
  return inputs.task_vms.contains(record.id) && timer != memory.timers.end() &&
         inputs.now - timer->second.since < inputs.limits.task_drain_timeout;
}

auto StepDraining(const ControllerInputs& inputs,
                  const ControllerMemory& memory,
                  const VmRecord& record,
                  Listing listing,
                  FleetDraft& draft,
                  ControllerDecision& decision) -> void {
  VmRecord next = record;
  if (IsLeavingDrain(record) && listing == Listing::kPresent) {
    next.state = VmState::kServing;
    next.reason.clear();
    ChangeVm(draft, record, std::move(next));
    return;
  }
  const std::vector<EntryId> holding =
      MembersHoldingDrain(memory.drains, record, inputs.members, inputs.now);
  if (!holding.empty() || inputs.members.empty()) {
    decision.report.draining.push_back(
        {record.id, "waits for " + JoinEntries(holding)});
    return;
  }
  if (WaitsForTasks(inputs, memory, record)) {
    decision.report.draining.push_back({record.id, "waits for long tasks"});
    return;
  }
  next.state = VmState::kDrained;
  ChangeVm(draft, record, std::move(next));
}

auto FinishMove(const ControllerInputs& inputs,
                const VmRecord& record,
                FleetDraft& draft) -> void {
  VmRecord next = record;
  // The target pool may have been deleted in the meantime.
  if (inputs.config->pools.contains(record.next_pool)) {
    next.pool = record.next_pool;
  }
  next.next_pool = PoolName();
  next.state = VmState::kServing;
  ChangeVm(draft, record, std::move(next));
}

auto StepDrained(const ControllerInputs& inputs,
                 const VmRecord& record,
                 Listing listing,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void {
  if (listing == Listing::kMissing) {
    RecordWaveResult(inputs, record, /*succeeded=*/false, draft);
    RemoveVm(draft, record.id);
  } else if (!record.wave.empty()) {
    BeginReboot(inputs, record, draft, decision);
  } else if (!record.next_pool.empty()) {
    FinishMove(inputs, record, draft);
  } else if (listing == Listing::kPresent) {
    VmRecord next = record;
    next.state = VmState::kServing;
    next.reason.clear();
    ChangeVm(draft, record, std::move(next));
  }
}

auto StepFailed(const VmRecord& record,
                Listing listing,
                FleetDraft& draft,
                ControllerDecision& decision) -> void {
  if (listing == Listing::kMissing) {
    RemoveVm(draft, record.id);
    return;
  }
  decision.report.failed.push_back({record.id, record.reason});
}

auto StepVm(const ControllerInputs& inputs,
            ControllerMemory& memory,
            const VmRecord& record,
            Listing listing,
            FleetDraft& draft,
            ControllerDecision& decision) -> void {
  switch (record.state) {
    case VmState::kServing:
      StepServing(record, listing, draft);
      break;
    case VmState::kDraining:
      StepDraining(inputs, memory, record, listing, draft, decision);
      break;
    case VmState::kDrained:
      StepDrained(inputs, record, listing, draft, decision);
      break;
    case VmState::kRebooting:
      StepRebooting(inputs, memory, record, listing == Listing::kLeaving, draft,
                    decision);
      break;
    case VmState::kVerifying:
      StepVerifying(inputs, memory, record, listing == Listing::kLeaving, draft,
                    decision);
      break;
    case VmState::kFailed:
      StepFailed(record, listing, draft, decision);
      break;
  }
}

/// Restarts the VM's timer when its row has a new generation. Erases the timers
/// of serving and failed VMs, which are not needed and would accumulate.
auto UpdateTimer(const ControllerInputs& inputs,
                 ControllerMemory& memory,
                 const VmRecord& record) -> void {
  if (record.state == VmState::kServing || record.state == VmState::kFailed) {
    memory.timers.erase(record.id);
    return;
  }
  VmTimer& timer = memory.timers[record.id];
  if (timer.generation != record.generation) {
    timer = {record.generation, inputs.now, std::nullopt};
  }
}

auto EraseRemovedVms(const ControllerInputs& inputs, ControllerMemory& memory)
    -> void {
  const auto is_removed = [&inputs](const auto& item) {
    return !inputs.fleet->vms.contains(item.first);
  };
  std::erase_if(memory.timers, is_removed);
  std::erase_if(memory.missing_since, is_removed);
  std::erase_if(memory.unavailable_since, is_removed);
}

}  // namespace

auto ProgressVms(const ControllerInputs& inputs,
                 ControllerMemory& memory,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void {
  const ListIndex index = MakeListIndex(inputs);
  EraseRemovedVms(inputs, memory);
  for (const auto& [vm, record] : inputs.fleet->vms) {
    const Listing listing = FindListing(index, inputs, memory, vm);
    UpdateTimer(inputs, memory, record);
    if (CanChange(draft, vm)) {
      StepVm(inputs, memory, record, listing, draft, decision);
    }
  }
}

}  // namespace fireflythread
