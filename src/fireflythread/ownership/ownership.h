#ifndef FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_
#define FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/ownership/handover.h"
#include "fireflythread/ownership/ownership_state.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

inline constexpr std::string_view kEntryTable = "entry";
inline constexpr std::string_view kShardTable = "shard";
/// Holds one row for each shard in the shard's own part, so that the owner's
/// transactions can depend on it without touching a second part.
inline constexpr std::string_view kFenceTable = "fence";
inline constexpr std::string_view kFenceKey = "owner";

/// An attempt to become the owner of a shard. The revision at which the
/// transaction commits is the fencing token.
struct ShardClaim {
  ServiceName shard;
  Transaction transaction;
  /// Holds if the transaction commits.
  Handover handover;
};

/// Takes in all rows of the entry table.
auto ApplyEntryRows(OwnershipState& state,
                    const std::vector<Row>& rows,
                    TimePoint now) -> void;

/// Takes in one changed row of the shard table.
auto ApplyShardRow(OwnershipState& state, const Row& row, TimePoint now)
    -> void;

/// The renewal of this entry's own row.
[[nodiscard]] auto MakeRenewal(const OwnershipState& state) -> Transaction;

/// The shards that this entry should try to own now.
[[nodiscard]] auto NextClaims(const OwnershipState& state, TimePoint now)
    -> std::vector<ShardClaim>;

/// Gives up a shard owned since `token`. Tells the next owner which workers do
/// not answer and how long their leases may last.
[[nodiscard]] auto MakeRelease(
    const ServiceName& shard,
    std::uint64_t token,
    const std::map<WorkerId, std::chrono::milliseconds>& unresponsive_workers)
    -> Transaction;

/// Whether the shard's row names this incarnation of this entry as owner.
[[nodiscard]] auto OwnsShard(const OwnershipState& state,
                             const ServiceName& shard) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_H_
