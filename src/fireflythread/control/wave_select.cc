#include "fireflythread/control/wave_select.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace fireflythread {
namespace {

using Group = std::vector<const WaveCandidate*>;

/// The budget that keeps a VM from being taken; no value when it may be.
auto FindBlock(const WaveCandidate& candidate, const WaveAllowance& pool)
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
  if (pool.out >= pool.width) {
    return WaveBudget::kMaxUnavailable;
  }
  if (pool.serving - 1 < pool.needed) {
    return pool.spare ? WaveBudget::kReserve : WaveBudget::kHeadroom;
  }
  return std::nullopt;
}

auto Charge(const WaveCandidate& candidate,
            WaveAllowances& allowances,
            int sign) -> void {
  if (candidate.serving) {
    WaveAllowance& pool = allowances[candidate.pool];
    pool.out += sign;
    pool.serving -= sign;
  }
}

/// Takes the whole group or nothing.
auto TakeWhole(const Group& group,
               WaveAllowances& allowances,
               WaveSelection& selection) -> bool {
  std::size_t charged = 0;
  while (charged < group.size() &&
         !FindBlock(*group[charged], allowances[group[charged]->pool])) {
    Charge(*group[charged], allowances, 1);
    ++charged;
  }
  if (charged < group.size()) {
    while (charged > 0) {
      Charge(*group[--charged], allowances, -1);
    }
    return false;
  }
  for (const WaveCandidate* candidate : group) {
    selection.taken.push_back(*candidate);
  }
  return true;
}

auto TakeWhatFits(const Group& group,
                  WaveAllowances& allowances,
                  WaveSelection& selection) -> void {
  for (const WaveCandidate* candidate : group) {
    const auto block = FindBlock(*candidate, allowances[candidate->pool]);
    if (block.has_value()) {
      selection.blocked.push_back(
          {candidate->vm, candidate->wave, candidate->pool, *block});
      continue;
    }
    Charge(*candidate, allowances, 1);
    selection.taken.push_back(*candidate);
  }
}

auto GroupByRack(const std::vector<WaveCandidate>& candidates)
    -> std::vector<Group> {
  std::map<RackName, Group> racks;
  for (const WaveCandidate& candidate : candidates) {
    racks[candidate.rack].push_back(&candidate);
  }
  std::vector<Group> groups;
  groups.reserve(racks.size());
  for (auto& [rack, group] : racks) {
    groups.push_back(std::move(group));
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const Group& left, const Group& right) {
                     return left.size() > right.size();
                   });
  return groups;
}

}  // namespace

auto SelectWaveVms(const std::vector<WaveCandidate>& candidates,
                   WaveAllowances& allowances) -> WaveSelection {
  WaveSelection selection;
  std::vector<Group> rest;
  for (Group& group : GroupByRack(candidates)) {
    if (!TakeWhole(group, allowances, selection)) {
      rest.push_back(std::move(group));
    }
  }
  for (const Group& group : rest) {
    TakeWhatFits(group, allowances, selection);
  }
  return selection;
}

auto SelectOneAtATime(const std::vector<WaveCandidate>& candidates,
                      WaveAllowances& allowances) -> WaveSelection {
  WaveSelection selection;
  const bool any_out =
      std::any_of(allowances.begin(), allowances.end(),
                  [](const auto& item) { return item.second.out > 0; });
  if (any_out) {
    return selection;
  }
  for (const WaveCandidate& candidate : candidates) {
    if (!FindBlock(candidate, allowances[candidate.pool]).has_value()) {
      Charge(candidate, allowances, 1);
      selection.taken.push_back(candidate);
      break;
    }
  }
  return selection;
}

}  // namespace fireflythread
