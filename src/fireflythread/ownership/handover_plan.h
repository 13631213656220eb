#ifndef FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_
#define FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_

#include <chrono>
#include <optional>

#include "fireflythread/ownership/entry_load.h"
#include "fireflythread/ownership/ownership_state.h"

namespace fireflythread {

/// A shard that this entry should hand over to another entry, with the loads on
/// which the decision is based.
struct HandoverPlan {
  ShardName shard;
  /// The entry that ChooseEntry() selects once the shard is released.
  EntryId preferred;
  EntryLoad own_load;
  EntryLoad preferred_load;
};

/// Returns the shard that this entry should hand over now. Returns no value
/// while any shard has no owner, or while the rows are incomplete, outdated or
/// too recent to base a decision on.
[[nodiscard]] auto NextHandover(const OwnershipState& state, TimePoint now)
    -> std::optional<HandoverPlan>;

/// A shard moves only to an entry that has at least this many times as much
/// capacity per shard, counting the moved shard. Moving it back would need the
/// same gain, so a shard does not return while the set of entries is unchanged.
inline constexpr int kMinHandoverGain = 2;

/// Minimum time that a process must have been alive before a shard is handed
/// over to it, and minimum time that an owner keeps a shard. Loading a shard
/// can take several seconds, and an entry that fails soon after each start must
/// not receive shards.
inline constexpr std::chrono::milliseconds kMinStableTime{5000};

/// Upper limit on the age of the rows that a handover is based on. If the
/// entries were last read longer ago, the store is not responding. A row that
/// was not renewed for this long may belong to an entry that has just ended.
inline constexpr std::chrono::milliseconds kMaxRowAge{2000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_
