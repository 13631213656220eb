#include "fireflythread/fleet/drain_tracker.h"

#include <algorithm>
#include <cstddef>

#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

constexpr Duration kGoneAfter = kFreshnessLimit + kLongestRequest;

/// Whether the members that have not applied the version are fewer than a
/// majority, so that they cannot confirm an older version by peers alone.
auto IsSettled(std::uint64_t fleet_version,
               const std::map<EntryId, MemberState>& members) -> bool {
  const auto applied = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [fleet_version](const auto& member) {
        return member.second.fleet_version >= fleet_version;
      }));
  const std::size_t majority = members.size() / 2 + 1;
  return applied > 0 && members.size() - applied < majority;
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
    }
    if (!progress.settled_at.has_value() &&
        IsSettled(progress.fleet_version, members)) {
      progress.settled_at = now;
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
