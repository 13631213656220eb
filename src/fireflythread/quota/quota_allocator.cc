#include "fireflythread/quota/quota_allocator.h"

#include <algorithm>
#include <utility>

#include "fireflythread/quota/quota_division.h"
#include "fireflythread/quota/resources.h"

namespace fireflythread {
namespace {

/// Grants that are remembered for each shard. Those in between are merged, so
/// that a shard without an owner takes no more memory.
constexpr std::size_t kMaxGrants = 4;

auto CurrentLimit(const ShardQuota& shard, const OrganisationName& name)
    -> TaskSize {
  return shard.grants.empty() ? TaskSize{}
                              : SizeOf(shard.grants.back().limits, name);
}

auto UsageOf(const ShardQuota& shard, const OrganisationName& name)
    -> OrganisationUsage {
  if (!shard.usage) {
    return {};
  }
  const auto found = shard.usage->organisations.find(name);
  return found == shard.usage->organisations.end() ? OrganisationUsage{}
                                                   : found->second;
}

/// One organisation in all shards that have published their usage.
struct CapDivision {
  OrganisationName organisation;
  TaskSize cap;
  std::vector<ShardQuota*> shards;
  std::vector<OrganisationUsage> usages;
  std::vector<TaskSize> current;
};

auto GatherDivision(QuotaAllocator& allocator,
                    const OrganisationName& name,
                    const TaskSize& cap) -> CapDivision {
  CapDivision division;
  division.organisation = name;
  division.cap = cap;
  for (auto& [id, shard] : allocator.shards) {
    if (shard.usage) {
      division.shards.push_back(&shard);
      division.usages.push_back(UsageOf(shard, name));
      if (shard.retired) {
        division.usages.back().waiting = {};
        division.usages.back().largest = {};
      }
      division.current.push_back(CurrentLimit(shard, name));
    }
  }
  return division;
}

/// One resource of a division.
struct ResourceDivision {
  std::int64_t cap = 0;
  /// The room that is left when every shard holds as much as it may.
  std::int64_t free = 0;
  /// Sums over all shards.
  std::int64_t held = 0;
  std::int64_t limits = 0;
  /// What shards ask for beyond their limits.
  std::int64_t lacking = 0;
};

auto WantedBy(const OrganisationUsage& usage, std::int64_t TaskSize::*resource)
    -> std::int64_t {
  return usage.held.*resource + usage.waiting.*resource;
}

auto SumResource(const QuotaAllocator& allocator,
                 const CapDivision& division,
                 std::int64_t TaskSize::*resource) -> ResourceDivision {
  ResourceDivision sums;
  sums.cap = division.cap.*resource;
  sums.free = sums.cap;
  for (const auto& [id, shard] : allocator.shards) {
    sums.free -= BoundOf(shard, division.organisation).*resource;
  }
  for (std::size_t shard = 0; shard < division.shards.size(); ++shard) {
    const std::int64_t limit = division.current[shard].*resource;
    sums.held += division.usages[shard].held.*resource;
    sums.limits += limit;
    sums.lacking += std::max<std::int64_t>(
        0, WantedBy(division.usages[shard], resource) - limit);
  }
  return sums;
}

/// Returns whether a resource's limits serve the demand: no shard lacks any,
/// and what was freed by a raised cap is given out.
auto IsSettled(const CapDivision& division,
               const ResourceDivision& sums,
               std::int64_t TaskSize::*resource) -> bool {
  if (sums.cap == 0) {
    return std::all_of(division.current.begin(), division.current.end(),
                       [resource](const TaskSize& limit) -> bool {
                         return limit.*resource >= kNoLimit;
                       });
  }
  return sums.lacking == 0 && sums.limits <= sums.cap &&
         sums.limits >= sums.cap / 2;
}

/// Returns whether a shard's raised limit lets it start another task, or all
/// that it asks for. A smaller one is not worth a transaction.
auto IsUsefulRaise(const OrganisationUsage& usage,
                   std::int64_t TaskSize::*resource,
                   std::int64_t raised) -> bool {
  return raised >= std::min(WantedBy(usage, resource),
                            usage.held.*resource + usage.largest.*resource);
}

/// Returns the new limits of one resource. Limits are lowered only where the
/// room is asked for elsewhere or the cap was lowered, and raised only as far
/// as no other shard may hold the room.
auto NextLimits(const CapDivision& division,
                ResourceDivision sums,
                std::int64_t TaskSize::*resource,
                const std::vector<TaskSize>& targets)
    -> std::vector<std::int64_t> {
  std::vector<std::int64_t> limits;
  // The shards together may hold more than the cap.
  const bool exceeds = sums.free < 0;
  const bool squeezes = sums.lacking > sums.free || exceeds;
  for (std::size_t shard = 0; shard < division.shards.size(); ++shard) {
    const OrganisationUsage& usage = division.usages[shard];
    const std::int64_t current = division.current[shard].*resource;
    // After a cap was lowered, what others hold beyond their limits counts
    // first.
    const std::int64_t others = sums.held - usage.held.*resource;
    const std::int64_t target =
        exceeds ? std::min(targets[shard].*resource,
                           std::max<std::int64_t>(0, sums.cap - others))
                : targets[shard].*resource;
    if (sums.cap == 0) {
      limits.push_back(kNoLimit);
      continue;
    }
    if (target <= current) {
      limits.push_back(squeezes ? target : current);
      continue;
    }
    // Up to its bound a shard needs no further room: it may hold that much.
    const std::int64_t bound =
        BoundOf(*division.shards[shard], division.organisation).*resource;
    const std::int64_t base =
        exceeds ? current : std::max(current, std::min(target, bound));
    const std::int64_t more = std::clamp<std::int64_t>(
        target - base, 0, std::max<std::int64_t>(0, sums.free));
    if (!IsUsefulRaise(usage, resource, base + more)) {
      limits.push_back(current);
      continue;
    }
    sums.free -= more;
    limits.push_back(base + more);
  }
  return limits;
}

/// Plans the limits of one organisation; adds those that change.
auto DivideOrganisation(
    QuotaAllocator& allocator,
    const OrganisationName& name,
    const TaskSize& cap,
    std::map<ShardQuota*, std::map<OrganisationName, TaskSize>>& changes)
    -> void {
  const CapDivision division = GatherDivision(allocator, name, cap);
  std::vector<TaskSize> limits = division.current;
  std::optional<std::vector<TaskSize>> targets;
  for (const auto resource : kResources) {
    const ResourceDivision sums = SumResource(allocator, division, resource);
    if (IsSettled(division, sums, resource)) {
      continue;
    }
    if (!targets) {
      targets = DivideCap(division.cap, division.usages, allocator.turn);
    }
    const std::vector<std::int64_t> amounts =
        NextLimits(division, sums, resource, *targets);
    for (std::size_t shard = 0; shard < limits.size(); ++shard) {
      limits[shard].*resource = amounts[shard];
    }
  }
  for (std::size_t shard = 0; shard < limits.size(); ++shard) {
    const bool changed = limits[shard] != division.current[shard];
    if (changed && !division.shards[shard]->storing) {
      changes[division.shards[shard]][name] = limits[shard];
    }
  }
}

/// Makes the next grant of a shard: the last one with these limits, without
/// organisations that have no cap any more.
auto MakeGrant(const QuotaAllocator& allocator,
               const ShardQuota& shard,
               const std::map<OrganisationName, TaskSize>& changed)
    -> QuotaGrant {
  QuotaGrant grant;
  if (!shard.grants.empty()) {
    grant = shard.grants.back();
  }
  ++grant.number;
  for (const auto& [name, limit] : changed) {
    grant.limits[name] = limit;
  }
  std::erase_if(grant.limits, [&allocator](const auto& entry) -> bool {
    return !allocator.caps.contains(entry.first);
  });
  grant.bounds.clear();
  for (const auto& [name, limit] : grant.limits) {
    grant.bounds[name] = MaxOf(limit, BoundOf(shard, name));
  }
  return grant;
}

/// Adds a grant that a shard may follow. The oldest ones are merged, under the
/// highest of their numbers and limits.
auto AddGrant(ShardQuota& shard, const QuotaGrant& grant) -> void {
  shard.grants.push_back(grant);
  while (shard.grants.size() > kMaxGrants) {
    QuotaGrant& merged = shard.grants[1];
    for (const auto& [name, limit] : shard.grants[0].limits) {
      merged.limits[name] = MaxOf(SizeOf(merged.limits, name), limit);
    }
    shard.grants.erase(shard.grants.begin());
  }
}

}  // namespace

auto SetCaps(QuotaAllocator& allocator,
             const std::vector<Organisation>& organisations) -> void {
  allocator.caps.clear();
  for (const Organisation& organisation : organisations) {
    if (HasCap(organisation)) {
      allocator.caps.emplace(organisation.name, organisation.cap);
    }
  }
}

auto SetShards(QuotaAllocator& allocator, const std::set<ShardName>& shards)
    -> void {
  for (const ShardName& name : shards) {
    allocator.shards[name];
  }
  for (auto& [name, shard] : allocator.shards) {
    shard.retired = !shards.contains(name);
  }
}

auto ApplyStoredGrant(QuotaAllocator& allocator,
                      const ShardName& shard,
                      const QuotaGrant& grant) -> void {
  // The shard may follow this grant or an earlier one, whose limits the bounds
  // include.
  QuotaGrant earlier = grant;
  earlier.limits = grant.bounds;
  earlier.number = grant.number == 0 ? 0 : grant.number - 1;
  allocator.shards[shard].grants = {std::move(earlier), grant};
}

auto ApplyUsage(QuotaAllocator& allocator,
                const ShardName& shard,
                const QuotaUsage& usage) -> void {
  ShardQuota& quota = allocator.shards[shard];
  quota.usage = usage;
  while (quota.grants.size() > 1 &&
         quota.grants.front().number < usage.grant_number) {
    quota.grants.erase(quota.grants.begin());
  }
}

auto BoundOf(const ShardQuota& shard, const OrganisationName& organisation)
    -> TaskSize {
  TaskSize bound = UsageOf(shard, organisation).held;
  for (const QuotaGrant& grant : shard.grants) {
    bound = MaxOf(bound, SizeOf(grant.limits, organisation));
  }
  return bound;
}

auto PlanGrants(QuotaAllocator& allocator) -> std::vector<GrantChange> {
  std::map<ShardQuota*, std::map<OrganisationName, TaskSize>> changes;
  for (const auto& [name, cap] : allocator.caps) {
    DivideOrganisation(allocator, name, cap, changes);
  }
  std::vector<GrantChange> grants;
  for (auto& [id, shard] : allocator.shards) {
    const auto changed = changes.find(&shard);
    if (shard.storing || (changed == changes.end() && !shard.resend)) {
      continue;
    }
    shard.resend = false;
    shard.storing = true;
    QuotaGrant grant = MakeGrant(allocator, shard,
                                 changed == changes.end()
                                     ? std::map<OrganisationName, TaskSize>()
                                     : changed->second);
    AddGrant(shard, grant);
    grants.push_back({id, std::move(grant)});
  }
  allocator.turn += grants.empty() ? 0 : 1;
  return grants;
}

auto ApplyGrantResult(QuotaAllocator& allocator,
                      const ShardName& shard,
                      bool stored) -> void {
  ShardQuota& quota = allocator.shards.at(shard);
  quota.storing = false;
  quota.resend = quota.resend || !stored;
}

}  // namespace fireflythread
