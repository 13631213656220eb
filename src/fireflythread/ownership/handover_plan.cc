#include "fireflythread/ownership/handover_plan.h"

#include <cstdint>
#include <map>

#include "fireflythread/ownership/ownership.h"
#include "fireflythread/ownership/placement.h"

namespace fireflythread {
namespace {

/// Returns whether the rows that this entry has read are complete and recent
/// enough to plan a handover.
auto CanPlanHandover(const OwnershipState& state, TimePoint now) -> bool {
  const auto self = state.entries.find(state.self);
  return state.entries_read && state.shards_read && !state.stopping &&
         now - state.entries_read_at < kMaxRowAge &&
         self != state.entries.end() &&
         self->second.incarnation == state.incarnation &&
         IsAlive(self->second, now);
}

/// Returns whether this entry has owned the shard for at least kMinStableTime.
auto IsOwnedLongEnough(const OwnershipState& state,
                       const ShardName& shard,
                       TimePoint now) -> bool {
  return OwnsShard(state, shard) &&
         now - state.shards.at(shard).changed_at >= kMinStableTime;
}

/// Returns whether the entry has been alive for long enough, and has renewed
/// its row recently enough, to be expected to claim a released shard at once.
auto IsStable(const EntryView& entry, TimePoint now) -> bool {
  return now - entry.alive_since >= kMinStableTime &&
         now - entry.changed_at < kMaxRowAge;
}

/// Returns whether `other`, with one more shard, would have at least
/// kMinHandoverGain times as much capacity per shard as `own` has now.
auto IsHandoverWorthwhile(const EntryLoad& other, const EntryLoad& own)
    -> bool {
  return std::int64_t{other.capacity} * own.shards >=
         std::int64_t{kMinHandoverGain} * own.capacity * (other.shards + 1);
}

}  // namespace

auto NextHandover(const OwnershipState& state, TimePoint now)
    -> std::optional<HandoverPlan> {
  if (!CanPlanHandover(state, now)) {
    return std::nullopt;
  }
  const Placement placement = MakePlacement(state, now);
  if (!placement.orphans.empty()) {
    return std::nullopt;
  }
  const EntryLoad own = placement.loads.at(state.self);
  for (const ShardName& shard : state.wanted) {
    if (!IsOwnedLongEnough(state, shard, now)) {
      continue;
    }
    // The loads from which every entry chooses the next owner once the shard is
    // released.
    std::map<EntryId, EntryLoad> released = placement.loads;
    --released.at(state.self).shards;
    const auto choice = ChooseEntry(released, shard);
    if (choice && *choice != state.self &&
        IsStable(state.entries.at(*choice), now) &&
        IsHandoverWorthwhile(released.at(*choice), own)) {
      return HandoverPlan{shard, *choice, own, released.at(*choice)};
    }
  }
  return std::nullopt;
}

}  // namespace fireflythread
