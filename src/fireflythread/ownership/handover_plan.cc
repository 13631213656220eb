#include "fireflythread/ownership/handover_plan.h"

#include <cstdint>
#include <map>

#include "fireflythread/ownership/ownership.h"
#include "fireflythread/ownership/placement.h"

namespace fireflythread {
namespace {

/// Whether this entry may act by the rows it has read.
auto CanPlanHandover(const OwnershipState& state, TimePoint now) -> bool {
  const auto self = state.entries.find(state.self);
  return state.entries_read && state.shards_read && !state.stopping &&
         now - state.entries_read_at < kMaxRowAge &&
         self != state.entries.end() &&
         self->second.incarnation == state.incarnation &&
         IsAlive(self->second, now);
}

auto IsOwnedLongEnough(const OwnershipState& state,
                       const ServiceName& shard,
                       TimePoint now) -> bool {
  return OwnsShard(state, shard) &&
         now - state.shards.at(shard).changed_at >= kMinStableTime;
}

/// Whether the entry can be trusted to claim the shard at once.
auto IsStable(const EntryView& entry, TimePoint now) -> bool {
  return now - entry.alive_since >= kMinStableTime &&
         now - entry.changed_at < kMaxRowAge;
}

/// Whether `other` with one shard more has kMinHandoverGain times as much
/// capacity for each shard as `own` has now.
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
  for (const ServiceName& shard : state.wanted) {
    if (!IsOwnedLongEnough(state, shard, now)) {
      continue;
    }
    // What every entry will choose by once the shard is released.
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
