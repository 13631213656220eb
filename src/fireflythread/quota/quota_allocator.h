#ifndef FIREFLYTHREAD_QUOTA_QUOTA_ALLOCATOR_H_
#define FIREFLYTHREAD_QUOTA_QUOTA_ALLOCATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/organisation.h"
#include "fireflythread/quota/quota_grant.h"
#include "fireflythread/quota/quota_usage.h"

namespace fireflythread {

/// What the allocator knows of one shard.
struct ShardQuota {
  /// Every grant that the shard may follow: those sent since the one that it
  /// follows by its last usage, and that one. A grant whose write has no known
  /// outcome counts, too.
  std::vector<QuotaGrant> grants;
  /// Empty until an owner of the shard has published its usage. Until then it
  /// gets nothing, as nobody knows what its runs hold.
  std::optional<QuotaUsage> usage;
  /// The last grant may not have been stored; it must be sent again.
  bool resend = false;
  /// A grant is being stored. No other is planned meanwhile.
  bool storing = false;
  /// No pool of the configuration has this shard any more. It gets no room for
  /// new work.
  bool retired = false;
};

/// Divides the organisations' caps among the shards, so that what all shards
/// together may hold never exceeds a cap. Whoever owns the duty shard has one.
struct QuotaAllocator {
  std::map<OrganisationName, TaskSize> caps;
  std::map<ShardName, ShardQuota> shards;
  /// Counts divisions, so that shards come first in turn.
  std::size_t turn = 0;
};

/// A grant that is to be stored.
struct GrantChange {
  ShardName shard;
  QuotaGrant grant;
};

/// Sets the caps of the configuration. Organisations without a cap are left
/// out.
auto SetCaps(QuotaAllocator& allocator,
             const std::vector<Organisation>& organisations) -> void;

/// Sets the shards of the configuration. The others are retired.
auto SetShards(QuotaAllocator& allocator, const std::set<ShardName>& shards)
    -> void;

/// Applies a stored grant when the allocator begins.
auto ApplyStoredGrant(QuotaAllocator& allocator,
                      const ShardName& shard,
                      const QuotaGrant& grant) -> void;

/// Applies a usage that a shard's owner has stored.
auto ApplyUsage(QuotaAllocator& allocator,
                const ShardName& shard,
                const QuotaUsage& usage) -> void;

/// Returns the upper limit of what an organisation's runs hold in a shard, now
/// and until it gets another grant.
[[nodiscard]] auto BoundOf(const ShardQuota& shard,
                           const OrganisationName& organisation) -> TaskSize;

/// Returns the grants that must be stored. They count as followed from now on,
/// and ApplyGrantResult() must be called for each.
[[nodiscard]] auto PlanGrants(QuotaAllocator& allocator)
    -> std::vector<GrantChange>;

/// Applies the result of storing a shard's last grant. One that was certainly
/// or possibly not stored is planned again, under a new number.
auto ApplyGrantResult(QuotaAllocator& allocator,
                      const ShardName& shard,
                      bool stored) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_QUOTA_ALLOCATOR_H_
