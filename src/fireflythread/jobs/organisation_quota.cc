#include "fireflythread/jobs/organisation_quota.h"

#include <cstdint>

#include "fireflythread/jobs/ready_step.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/quota/resources.h"

namespace fireflythread {
namespace {

auto Times(const TaskSize& size, std::int64_t count) -> TaskSize {
  return {size.millicores * count, size.memory_mb * count,
          size.accelerators * count};
}

}  // namespace

auto SetCapped(OrganisationQuota& quota,
               const std::vector<Organisation>& organisations) -> void {
  quota.capped.clear();
  for (const Organisation& organisation : organisations) {
    if (HasCap(organisation)) {
      quota.capped.insert(organisation.name);
    }
  }
}

auto AddHeld(OrganisationQuota& quota,
             const OrganisationName& organisation,
             const TaskSize& size) -> void {
  if (!organisation.empty()) {
    TaskSize& held = quota.held[organisation];
    held = Plus(held, size);
  }
}

auto RemoveHeld(OrganisationQuota& quota,
                const OrganisationName& organisation,
                const TaskSize& size) -> void {
  const auto held = quota.held.find(organisation);
  if (held == quota.held.end()) {
    return;
  }
  held->second = Minus(held->second, size);
  if (held->second == TaskSize{}) {
    quota.held.erase(held);
  }
}

auto MayHold(const OrganisationQuota& quota,
             const OrganisationName& organisation,
             const TaskSize& more) -> bool {
  if (!quota.capped.contains(organisation)) {
    return true;
  }
  return Fits(Plus(SizeOf(quota.held, organisation), more),
              SizeOf(quota.grant.limits, organisation));
}

auto FollowGrant(OrganisationQuota& quota, const QuotaGrant& grant) -> bool {
  if (grant.number <= quota.grant.number) {
    return false;
  }
  quota.grant = grant;
  return true;
}

auto MeasureQuotaUsage(ShardState& state, WallTime wall_now, TimePoint now)
    -> QuotaUsage {
  QuotaUsage usage;
  usage.grant_number = state.quota.grant.number;
  for (const auto& [organisation, held] : state.quota.held) {
    if (state.quota.capped.contains(organisation)) {
      usage.organisations[organisation].held = held;
    }
  }
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    const OrganisationName& organisation = ready.job->request.organisation;
    if (!state.quota.capped.contains(organisation) ||
        !HasTaskToRun(ready, now)) {
      continue;
    }
    const JobStep& step = SpecOf(ready);
    OrganisationUsage& each = usage.organisations[organisation];
    const TaskSize all = Times(
        step.size, TallyOf(*ready.job, ready.occurrence, ready.step).waiting);
    each.waiting = Plus(each.waiting, all);
    // The tasks of a gang start together or not at all.
    each.largest = MaxOf(each.largest, step.gang ? all : step.size);
  }
  return usage;
}

}  // namespace fireflythread
