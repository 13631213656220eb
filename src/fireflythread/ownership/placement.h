#ifndef FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_
#define FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "fireflythread/ownership/entry_capacity.h"
#include "fireflythread/ownership/entry_load.h"
#include "fireflythread/ownership/ownership_state.h"

namespace fireflythread {

/// The live entries with their loads, and the shards without an acting owner.
struct Placement {
  std::map<EntryId, EntryLoad> loads;
  std::vector<ShardName> orphans;
};

/// Returns whether the entry's row was renewed within kEntryTimeout and the
/// entry is not stopping.
[[nodiscard]] auto IsAlive(const EntryView& entry, TimePoint now) -> bool;

/// Returns whether the process that owned the shard no longer acts for it:
/// either it released the shard, or its entry's row was written after the
/// shard's row by another process. An entry row older than the shard's row
/// proves nothing.
[[nodiscard]] auto IsFormerOwnerStopped(const OwnershipState& state,
                                        const ShardOwner& shard) -> bool;

/// Returns the capacity by which entries are compared, in millicores and at
/// least 1. It is the smaller of the CPU and the network link, where each
/// megabit per second of the link counts as kMillicoresPerMbps.
[[nodiscard]] auto CapacityOf(const EntryCapacity& capacity) -> int;

/// Computes the current placement from the rows.
[[nodiscard]] auto MakePlacement(const OwnershipState& state, TimePoint now)
    -> Placement;

/// Returns the entry that would have the most capacity per shard after
/// receiving one more shard. All entries make the same choice from the same
/// rows. Returns no value if there are no entries.
[[nodiscard]] auto ChooseEntry(const std::map<EntryId, EntryLoad>& loads,
                               const ShardName& shard)
    -> std::optional<EntryId>;

/// Millicores that correspond to a link capacity of 1 Mbit/s. The smallest
/// entries have 0.12 of a core and 10 Mbit/s; at this rate both limit them
/// equally.
inline constexpr int kMillicoresPerMbps = 12;

/// Returns the number of entries that would get any shard before `self`. Those
/// with the same load are not among them: the shard decides between them.
[[nodiscard]] auto CountPreferred(const std::map<EntryId, EntryLoad>& loads,
                                  const EntryId& self) -> std::size_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_PLACEMENT_H_
