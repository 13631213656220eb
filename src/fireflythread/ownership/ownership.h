#ifndef FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_
#define FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/ownership/fence.h"
#include "fireflythread/ownership/handover.h"
#include "fireflythread/ownership/ownership_state.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

inline constexpr std::string_view kEntryTable = "entry";
inline constexpr std::string_view kShardTable = "shard";

/// An attempt to become the owner of a shard. The store revision at which the
/// transaction commits is the owner's fencing token.
struct ShardClaim {
  ShardName shard;
  Transaction transaction;
  /// Valid only if the transaction commits.
  Handover handover;
};

/// Replaces the known entries by `rows`, which are all rows of the entry table.
auto ApplyEntryRows(OwnershipState& state,
                    const std::vector<Row>& rows,
                    TimePoint now) -> void;

/// Applies one changed row of the shard table. Ignores malformed rows and rows
/// older than the known version.
auto ApplyShardRow(OwnershipState& state, const Row& row, TimePoint now)
    -> void;

/// Returns the transaction that renews this entry's own row. It is sent at
/// `now`.
[[nodiscard]] auto MakeRenewal(const OwnershipState& state, TimePoint now)
    -> Transaction;

/// Returns whether this entry reads the rows of all entries at each renewal: it
/// owns a shard, a shard has no owner, or it would be among the first to claim
/// one. The others read them every kSlowReadRenewals renewals, so that the cost
/// of an entry does not grow with the number of entries.
[[nodiscard]] auto ReadsEachRenewal(const OwnershipState& state, TimePoint now)
    -> bool;

/// Returns claims for the shards that this entry should try to own now. Returns
/// none while this entry is stopping, or before it has read its own current row
/// and the shard table.
[[nodiscard]] auto NextClaims(const OwnershipState& state, TimePoint now)
    -> std::vector<ShardClaim>;

/// Returns the transaction that releases a shard owned with the fencing token
/// `token`. It tells the next owner which workers are unresponsive and how long
/// their leases may still be valid.
[[nodiscard]] auto MakeRelease(
    const ShardName& shard,
    std::uint64_t token,
    const std::map<WorkerId, std::chrono::milliseconds>& unresponsive_workers)
    -> Transaction;

/// Returns whether the shard's row names this incarnation of this entry as the
/// owner.
[[nodiscard]] auto OwnsShard(const OwnershipState& state,
                             const ShardName& shard) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_
