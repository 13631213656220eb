#include "fireflythread/control/wave_select.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace fireflythread {
namespace {

using RackGroup = std::vector<const WaveCandidate*>;

/// Returns the budget that prevents a VM from being drained; no value when none
/// does.
auto FindBlockingBudget(const WaveCandidate& candidate,
                        const WaveAllowance& pool)
    -> std::optional<WaveBudget> {
  if (!pool.window_open) {
    return WaveBudget::kWindow;
  }
  if (!candidate.serving) {
    return std::nullopt;
  }
  if (!pool.available) {
    return WaveBudget::kAvailability;
  }
  if (pool.unavailable >= pool.max_unavailable_vms) {
    return WaveBudget::kMaxUnavailable;
  }
  if (pool.serving - 1 < pool.needed) {
    return pool.spare ? WaveBudget::kReserve : WaveBudget::kHeadroom;
  }
  return std::nullopt;
}

auto AdjustAllowance(const WaveCandidate& candidate,
                     WaveAllowances& allowances,
                     int sign) -> void {
  if (candidate.serving) {
    WaveAllowance& pool = allowances[candidate.pool];
    pool.unavailable += sign;
    pool.serving -= sign;
  }
}

/// Selects all VMs of the group, or none when one of them exceeds a
/// budget. Returns whether the group was selected.
auto SelectWholeGroup(const RackGroup& group,
                      WaveAllowances& allowances,
                      WaveSelection& selection) -> bool {
  std::size_t selected_count = 0;
  while (selected_count < group.size() &&
         !FindBlockingBudget(*group[selected_count],
                             allowances[group[selected_count]->pool])) {
    AdjustAllowance(*group[selected_count], allowances, 1);
    ++selected_count;
  }
  if (selected_count < group.size()) {
    while (selected_count > 0) {
      AdjustAllowance(*group[--selected_count], allowances, -1);
    }
    return false;
  }
  for (const WaveCandidate* candidate : group) {
    selection.selected.push_back(*candidate);
  }
  return true;
}

auto SelectWithinBudgets(const RackGroup& group,
                         WaveAllowances& allowances,
                         WaveSelection& selection) -> void {
  for (const WaveCandidate* candidate : group) {
    const auto block =
        FindBlockingBudget(*candidate, allowances[candidate->pool]);
    if (block.has_value()) {
      selection.blocked.push_back(
          {candidate->vm, candidate->wave, candidate->pool, *block});
      continue;
    }
    AdjustAllowance(*candidate, allowances, 1);
    selection.selected.push_back(*candidate);
  }
}

auto GroupByRack(const std::vector<WaveCandidate>& candidates)
    -> std::vector<RackGroup> {
  std::map<RackName, RackGroup> racks;
  for (const WaveCandidate& candidate : candidates) {
    racks[candidate.rack].push_back(&candidate);
  }
  std::vector<RackGroup> groups;
  groups.reserve(racks.size());
  for (auto& [rack, group] : racks) {
    groups.push_back(std::move(group));
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const RackGroup& left, const RackGroup& right) {
                     return left.size() > right.size();
                   });
  return groups;
}

}  // namespace

auto SelectWaveVms(const std::vector<WaveCandidate>& candidates,
                   WaveAllowances& allowances) -> WaveSelection {
  WaveSelection selection;
  std::vector<RackGroup> rest;
  for (RackGroup& group : GroupByRack(candidates)) {
    if (!SelectWholeGroup(group, allowances, selection)) {
      rest.push_back(std::move(group));
    }
  }
  for (const RackGroup& group : rest) {
    SelectWithinBudgets(group, allowances, selection);
  }
  return selection;
}

auto SelectOneAtATime(const std::vector<WaveCandidate>& candidates,
                      WaveAllowances& allowances) -> WaveSelection {
  WaveSelection selection;
  const bool any_out =
      std::any_of(allowances.begin(), allowances.end(),
                  [](const auto& item) { return item.second.unavailable > 0; });
  if (any_out) {
    return selection;
  }
  for (const WaveCandidate& candidate : candidates) {
    if (!FindBlockingBudget(candidate, allowances[candidate.pool])
             .has_value()) {
      AdjustAllowance(candidate, allowances, 1);
      selection.selected.push_back(candidate);
      break;
    }
  }
  return selection;
}

}  // namespace fireflythread
