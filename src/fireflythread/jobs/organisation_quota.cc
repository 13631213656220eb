#include "fireflythread/jobs/organisation_quota.h"

#include <algorithm>
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

/// What the workers of a shard can hold.
struct Room {
  TaskSize all_workers;
  /// The most of each resource that one worker has.
  TaskSize largest_worker;
};

auto MeasureRoom(const ShardState& state) -> Room {
  Room room;
  for (const auto& [id, worker] : state.workers) {
    if (worker.listed && !worker.gone) {
      room.all_workers = Plus(room.all_workers, worker.view.capacity);
      room.largest_worker = MaxOf(room.largest_worker, worker.view.capacity);
    }
  }
  return room;
}

/// Returns whether something can ever run within a cap.
auto FitsCap(const TaskSize& size, const TaskSize& cap) -> bool {
  return std::all_of(
      kResources.begin(), kResources.end(), [&](auto resource) -> bool {
        return cap.*resource == 0 || size.*resource <= cap.*resource;
      });
}

}  // namespace

auto SetCaps(OrganisationQuota& quota,
             const std::vector<Organisation>& organisations) -> void {
  quota.caps.clear();
  for (const Organisation& organisation : organisations) {
    if (HasCap(organisation)) {
      quota.caps.emplace(organisation.name, organisation.cap);
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
  if (!quota.caps.contains(organisation)) {
    return true;
  }
  return Fits(Plus(SizeOf(quota.held, organisation), more),
              SizeOf(quota.grant.limits, organisation));
}

auto CountThatFit(const OrganisationQuota& quota,
                  const OrganisationName& organisation,
                  const TaskSize& planned,
                  const TaskSize& each,
                  int count) -> int {
  if (!quota.caps.contains(organisation)) {
    return count;
  }
  const TaskSize left = Minus(SizeOf(quota.grant.limits, organisation),
                              Plus(SizeOf(quota.held, organisation), planned));
  std::int64_t fitting = count;
  for (const auto resource : kResources) {
    if (each.*resource > 0) {
      fitting = std::min(
          fitting, std::max<std::int64_t>(0, left.*resource) / each.*resource);
    }
  }
  return static_cast<int>(fitting);
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
  // Also of organisations without a cap: when they get one, the allocator knows
  // what they have.
  for (const auto& [organisation, held] : state.quota.held) {
    usage.organisations[organisation].held = held;
  }
  const Room room = MeasureRoom(state);
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    const OrganisationName& organisation = ready.job->request.organisation;
    const auto cap = state.quota.caps.find(organisation);
    if (cap == state.quota.caps.end() || !HasTaskToRun(ready, now)) {
      continue;
    }
    const JobStep& step = SpecOf(ready);
    const TaskSize all = Times(
        step.size, TallyOf(*ready.job, ready.occurrence, ready.step).waiting);
    // The tasks of a gang start together or not at all.
    const TaskSize& least = step.gang ? all : step.size;
    if (!Fits(RequiredCapacity(step), room.largest_worker) ||
        !FitsCap(least, cap->second)) {
      continue;
    }
    OrganisationUsage& each = usage.organisations[organisation];
    each.waiting = MinOf(Plus(each.waiting, all), room.all_workers);
    each.largest = MaxOf(each.largest, least);
  }
  return usage;
}

}  // namespace fireflythread
