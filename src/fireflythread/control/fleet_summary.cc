#include "fireflythread/control/fleet_summary.h"

#include <algorithm>
#include <utility>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

auto AddUnlisted(const ControllerInputs& inputs, std::set<VmId>& unusable)
    -> void {
  if (!inputs.vm_list.has_value()) {
    return;
  }
  std::set<VmId> present;
  for (const ListedVm& vm : *inputs.vm_list) {
    if (!vm.leaving) {
      present.insert(vm.id);
    }
  }
  for (const auto& [vm, record] : inputs.fleet->vms) {
    if (!present.contains(vm)) {
      unusable.insert(vm);
    }
  }
}

auto Count(FleetSummary& summary, const VmRecord& record, bool changed)
    -> void {
  if (!record.wave.empty()) {
    ++summary.wave_unavailable[record.wave];
  }
  if (!record.next_pool.empty() && record.next_pool != record.pool) {
    ++summary.pools[record.next_pool].incoming;
    return;
  }
  PoolState& pool = summary.pools[record.pool];
  ++pool.size;
  if (record.state != VmState::kServing ||
      summary.unusable.contains(record.id)) {
    ++pool.unavailable;
    pool.wave_unavailable += record.wave.empty() ? 0 : 1;
  } else if (changed) {
    // The VM serves from the next step on. Its row has changed in this step, so
    // neither a move nor a wave can use it now.
    ++pool.incoming;
  } else {
    pool.serving.push_back(&record);
  }
}

}  // namespace

auto FindUnusableVms(const ControllerInputs& inputs) -> std::set<VmId> {
  std::set<VmId> unusable;
  AddUnlisted(inputs, unusable);
  const int quorum = std::min<int>(
      2, std::max<int>(1, static_cast<int>(inputs.members.size())));
  for (const auto& [vm, fault] : inputs.faults) {
    if (fault.reporters >= quorum) {
      unusable.insert(vm);
    }
  }
  return unusable;
}

auto SummarizeFleet(const ControllerInputs& inputs, const FleetDraft& draft)
    -> FleetSummary {
  FleetSummary summary;
  summary.unusable = FindUnusableVms(inputs);
  for (const auto& [name, spec] : inputs.config->pools) {
    summary.pools[name];
  }
  for (const auto& [vm, record] : inputs.fleet->vms) {
    if (draft.removed.contains(vm)) {
      continue;
    }
    const auto changed = draft.changed.find(vm);
    const bool is_changed = changed != draft.changed.end();
    Count(summary, is_changed ? changed->second : record, is_changed);
  }
  for (const auto& [vm, record] : draft.changed) {
    if (!inputs.fleet->vms.contains(vm)) {
      Count(summary, record, /*changed=*/true);
    }
  }
  return summary;
}

}  // namespace fireflythread
