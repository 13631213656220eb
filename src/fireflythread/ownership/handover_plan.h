#ifndef FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_
#define FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_

#include <chrono>
#include <optional>

#include "fireflythread/ownership/entry_load.h"
#include "fireflythread/ownership/ownership_state.h"

namespace fireflythread {

/// A shard of this entry that another one should own, with the loads that say
/// so.
struct HandoverPlan {
  ServiceName shard;
  /// The entry to which the assignment gives the shard once it is released.
  EntryId preferred;
  EntryLoad own_load;
  EntryLoad preferred_load;
};

/// The shard that this entry should hand over now. No value while any shard has
/// no owner, or while the rows are too old or too new to decide by.
[[nodiscard]] auto NextHandover(const OwnershipState& state, TimePoint now)
    -> std::optional<HandoverPlan>;

/// A shard moves only to an entry that has this many times as much capacity
/// for each of its shards, the moved one included. As the way back would have
/// to gain as much, a shard does not return while the entries stay the same.
inline constexpr int kMinHandoverGain = 2;

/// A process must have been alive for this long to be given a shard, and an
/// owner keeps a shard for at least this long. Loading a shard takes up to some
/// seconds, and an entry that fails soon after each start attracts nothing.
inline constexpr std::chrono::milliseconds kMinStableTime{5000};

/// Entries read longer ago than this say that the store does not answer, and a
/// row that was not renewed for as long may be of an entry that has just ended.
inline constexpr std::chrono::milliseconds kMaxRowAge{2000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_HANDOVER_PLAN_H_
