#ifndef FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_
#define FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_

#include <map>
#include <optional>
#include <vector>

#include "fireflythread/ownership/entry_capacity.h"
#include "fireflythread/ownership/entry_load.h"
#include "fireflythread/ownership/ownership_state.h"

namespace fireflythread {

/// The live entries with their loads, and the shards for which nobody acts.
struct Placement {
  std::map<EntryId, EntryLoad> loads;
  std::vector<ServiceName> orphans;
};

/// Whether the entry's row was renewed within kEntryTimeout and the entry does
/// not leave.
[[nodiscard]] auto IsAlive(const EntryView& entry, TimePoint now) -> bool;

/// Whether the process that owned the shard has ended: it released the shard,
/// or its entry's row, written after the shard's, is of another process. An
/// older row says nothing.
[[nodiscard]] auto IsFormerOwnerStopped(const OwnershipState& state,
                                        const ShardOwner& shard) -> bool;

/// The amount by which entries are compared, in millicores and at least 1. The
/// link counts as kMillicoresPerMbps for each megabit a second, and the smaller
/// of both decides.
[[nodiscard]] auto CapacityOf(const EntryCapacity& capacity) -> int;

/// Reads the present placement from the rows.
[[nodiscard]] auto MakePlacement(const OwnershipState& state, TimePoint now)
    -> Placement;

/// The entry that would have the most capacity for each of its shards with one
/// shard more. Every entry comes to the same choice from the same rows. No
/// value without entries.
[[nodiscard]] auto ChooseEntry(const std::map<EntryId, EntryLoad>& loads,
                               const ServiceName& shard)
    -> std::optional<EntryId>;

/// The smallest entries have 0.12 of a core and 10 Mbit/s. At this rate neither
/// of the two limits them more than the other.
inline constexpr int kMillicoresPerMbps = 12;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_
