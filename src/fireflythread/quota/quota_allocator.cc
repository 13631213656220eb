#include "fireflythread/quota/quota_allocator.h"

#include <algorithm>
#include <utility>

#include "fireflythread/quota/quota_division.h"
#include "fireflythread/quota/resources.h"

namespace fireflythread {
namespace {

/// Limits that are less than this share of the cap off their targets stay as
/// they are, so that small changes of the load cause no transactions.
constexpr std::int64_t kToleranceDivisor = 32;

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

/// Returns the cap that is divided. A single task that is larger than the cap
/// may run, or its job could never end.
auto EffectiveCap(const TaskSize& cap,
                  const std::vector<OrganisationUsage>& usages) -> TaskSize {
  TaskSize effective = cap;
  for (const OrganisationUsage& usage : usages) {
    for (const auto resource : kResources) {
      if (cap.*resource > 0) {
        effective.*resource =
            std::max(effective.*resource, usage.largest.*resource);
      }
    }
  }
  return effective;
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
  for (auto& [id, shard] : allocator.shards) {
    if (shard.usage) {
      division.shards.push_back(&shard);
      division.usages.push_back(UsageOf(shard, name));
      division.current.push_back(CurrentLimit(shard, name));
    }
  }
  division.cap = EffectiveCap(cap, division.usages);
  return division;
}

/// Returns whether a resource's limits serve the demand well enough.
auto IsSettled(const CapDivision& division, std::int64_t TaskSize::*resource)
    -> bool {
  const std::int64_t cap = division.cap.*resource;
  std::int64_t sum = 0;
  for (std::size_t shard = 0; shard < division.shards.size(); ++shard) {
    const OrganisationUsage& usage = division.usages[shard];
    const std::int64_t limit = division.current[shard].*resource;
    if (usage.held.*resource + usage.waiting.*resource > limit) {
      return false;
    }
    sum += std::min(limit, kNoLimit);
  }
  if (cap == 0) {
    return std::all_of(division.current.begin(), division.current.end(),
                       [resource](const TaskSize& limit) -> bool {
                         return limit.*resource >= kNoLimit;
                       });
  }
  // Less than half is what is left after a cap was raised.
  return sum <= cap && sum >= cap / 2;
}

/// Returns the room that is left when every shard holds as much as it may.
auto FreeRoom(const QuotaAllocator& allocator,
              const CapDivision& division,
              std::int64_t TaskSize::*resource) -> std::int64_t {
  std::int64_t bounds = 0;
  for (const auto& [id, shard] : allocator.shards) {
    bounds += BoundOf(shard, division.organisation).*resource;
  }
  return division.cap.*resource - bounds;
}

/// Returns the new limits of one resource: lowered at once, raised only as far
/// as no other shard may hold the room.
auto NextLimits(const QuotaAllocator& allocator,
                const CapDivision& division,
                std::int64_t TaskSize::*resource,
                const std::vector<TaskSize>& targets)
    -> std::vector<std::int64_t> {
  std::vector<std::int64_t> limits;
  const std::int64_t cap = division.cap.*resource;
  std::int64_t free = cap == 0 ? 0 : FreeRoom(allocator, division, resource);
  const std::int64_t tolerance = cap / kToleranceDivisor;
  for (std::size_t shard = 0; shard < division.shards.size(); ++shard) {
    const std::int64_t current = division.current[shard].*resource;
    const std::int64_t target = targets[shard].*resource;
    const OrganisationUsage& usage = division.usages[shard];
    const bool lacks = usage.held.*resource + usage.waiting.*resource > current;
    if (cap == 0) {
      limits.push_back(kNoLimit);
    } else if (target < current) {
      limits.push_back(current - target > tolerance ? target : current);
    } else {
      // Below its bound a shard may be raised without more room: it may hold
      // that much in any case.
      const std::int64_t bound =
          BoundOf(*division.shards[shard], division.organisation).*resource;
      const std::int64_t within = std::min(target, bound);
      const std::int64_t more =
          std::clamp<std::int64_t>(target - std::max(current, within), 0,
                                   std::max<std::int64_t>(0, free));
      const std::int64_t raised = std::max(current, within) + more;
      if (raised - current > tolerance || (lacks && raised > current)) {
        free -= more;
        limits.push_back(raised);
      } else {
        limits.push_back(current);
      }
    }
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
  const bool settled = std::all_of(
      kResources.begin(), kResources.end(),
      [&division](auto resource) { return IsSettled(division, resource); });
  if (settled) {
    return;
  }
  const std::vector<TaskSize> targets =
      DivideCap(division.cap, division.usages, allocator.turn);
  std::vector<TaskSize> limits = division.current;
  for (const auto resource : kResources) {
    const std::vector<std::int64_t> amounts =
        NextLimits(allocator, division, resource, targets);
    for (std::size_t shard = 0; shard < limits.size(); ++shard) {
      limits[shard].*resource = amounts[shard];
    }
  }
  for (std::size_t shard = 0; shard < limits.size(); ++shard) {
    if (limits[shard] != division.current[shard]) {
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
    if (changed == changes.end() && !shard.resend) {
      continue;
    }
    shard.resend = false;
    QuotaGrant grant = MakeGrant(allocator, shard,
                                 changed == changes.end()
                                     ? std::map<OrganisationName, TaskSize>()
                                     : changed->second);
    shard.grants.push_back(grant);
    grants.push_back({id, std::move(grant)});
  }
  allocator.turn += grants.empty() ? 0 : 1;
  return grants;
}

auto ApplyGrantFailure(QuotaAllocator& allocator, const ShardName& shard)
    -> void {
  const auto found = allocator.shards.find(shard);
  if (found != allocator.shards.end()) {
    found->second.resend = true;
  }
}

}  // namespace fireflythread
