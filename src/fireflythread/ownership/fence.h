#ifndef FIREFLYTHREAD_OWNERSHIP_FENCE_H_
#define FIREFLYTHREAD_OWNERSHIP_FENCE_H_

#include <cstdint>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {

/// Holds one row per shard in the shard's own part of the store, so that the
/// owner's transactions can depend on it without touching a second part. Its
/// version is the owner's fencing token.
inline constexpr std::string_view kFenceTable = "fence";
inline constexpr std::string_view kFenceKey = "owner";

/// Returns the condition that the owner of a shard with this fencing token
/// still owns it. It doesn't stop a transaction of this owner that the store
/// carries out late.
[[nodiscard]] auto OwnerCondition(const ShardName& shard, std::uint64_t fence)
    -> Condition;

/// Returns whether a transaction conflicted because the owner with this fencing
/// token no longer owns its shard.
[[nodiscard]] auto HasNewerFence(const Conflict& conflict, std::uint64_t fence)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_FENCE_H_
