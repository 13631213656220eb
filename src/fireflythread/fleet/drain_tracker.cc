#include "fireflythread/fleet/drain_tracker.h"

#include <algorithm>
#include <cstddef>

#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

constexpr Duration kGoneAfter = kFreshnessLimit + kLongestRequest;

/// Notes which members report the version and looks for a moment at which so
/// many had it in force that the others are fewer than a majority. Reports of
/// different moments do not count: a member may report, restart and recover an
/// older version from the others.
auto UpdateSettled(DrainProgress& progress,
                   const std::map<EntryId, MemberState>& members,
                   std::size_t cell_size,
                   TimePoint now) -> void {
  for (const auto& [name, member] : members) {
    if (member.fleet_version < progress.fleet_version) {
      continue;
    }
    const auto [found, is_new] = progress.applied.try_emplace(name);
    if (is_new || found->second.incarnation != member.incarnation) {
      found->second = {member.incarnation, now, member.last_heard};
    }
    found->second.to = std::max(found->second.to, member.last_heard);
  }
  const std::size_t all = std::max(cell_size, members.size());
  const std::size_t majority = all / 2 + 1;
  for (const auto& [name, report] : progress.applied) {
    const TimePoint moment = report.from;
    const auto sharing = static_cast<std::size_t>(std::count_if(
        progress.applied.begin(), progress.applied.end(),
        [moment](const auto& item) {
          return item.second.from <= moment && moment <= item.second.to;
        }));
    if (all < sharing + majority) {
      progress.settled_at = moment;
      return;
    }
  }
}

auto HasAcknowledged(const DrainProgress& progress,
                     const EntryId& entry,
                     const MemberState& member) -> bool {
  const auto found = progress.acknowledgements.find(entry);
  return found != progress.acknowledgements.end() &&
         found->second.incarnation == member.incarnation &&
         found->second.generation == progress.generation;
}

auto IsGone(const DrainProgress& progress,
            const MemberState& member,
            TimePoint now) -> bool {
  return progress.settled_at.has_value() &&
         now - *progress.settled_at >= kGoneAfter &&
         now - member.last_heard >= kGoneAfter;
}

}  // namespace

auto NoteDrainAcknowledgement(DrainTracker& tracker,
                              const EntryId& entry,
                              const VmId& vm,
                              DrainAcknowledgement acknowledgement) -> void {
  DrainAcknowledgement& known = tracker.drains[vm].acknowledgements[entry];
  if (known.incarnation == acknowledgement.incarnation &&
      known.generation > acknowledgement.generation) {
    return;
  }
  known = acknowledgement;
}

auto UpdateDrains(DrainTracker& tracker,
                  const FleetView& fleet,
                  const std::map<EntryId, MemberState>& members,
                  std::size_t cell_size,
                  TimePoint now) -> void {
  std::erase_if(tracker.drains, [&fleet](const auto& drain) {
    const auto found = fleet.vms.find(drain.first);
    return found == fleet.vms.end() ||
           found->second.state != VmState::kDraining;
  });
  for (const auto& [vm, record] : fleet.vms) {
    if (record.state != VmState::kDraining) {
      continue;
    }
    DrainProgress& progress = tracker.drains[vm];
    if (progress.generation != record.generation) {
      progress.generation = record.generation;
      progress.fleet_version = fleet.version;
      progress.settled_at.reset();
      progress.applied.clear();
    }
    if (!progress.settled_at.has_value()) {
      UpdateSettled(progress, members, cell_size, now);
    }
  }
}

auto MembersHoldingDrain(const DrainTracker& tracker,
                         const VmRecord& record,
                         const std::map<EntryId, MemberState>& members,
                         TimePoint now) -> std::vector<EntryId> {
  std::vector<EntryId> holding;
  const auto found = tracker.drains.find(record.id);
  const bool tracked = found != tracker.drains.end() &&
                       found->second.generation == record.generation;
  for (const auto& [entry, member] : members) {
    const bool finished =
        tracked && (HasAcknowledged(found->second, entry, member) ||
                    IsGone(found->second, member, now));
    if (!finished) {
      holding.push_back(entry);
    }
  }
  return holding;
}

auto IsDrained(const DrainTracker& tracker,
               const VmRecord& record,
               const std::map<EntryId, MemberState>& members,
               TimePoint now) -> bool {
  return !members.empty() &&
         MembersHoldingDrain(tracker, record, members, now).empty();
}

}  // namespace fireflythread
