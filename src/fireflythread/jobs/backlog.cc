#include "fireflythread/jobs/backlog.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <set>
#include <utility>
#include <vector>

#include "fireflythread/jobs/ready_step.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/usable_workers.h"
#include "fireflythread/quota/resources.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// There is room while more than one part in so many of the workers' cores is
/// free. Less may be left over beside tasks of several cores.
constexpr std::int64_t kRoomDivisor = 4;

/// Organisations over their share get at least this part of the workers in an
/// estimate: the others' work was measured over some seconds and may end.
constexpr double kMinPartOverShare = 0.1;

/// The resource that bounds how fast work completes.
using Resource = std::int64_t TaskSize::*;

/// How fast work completes: so much of a resource at any time. 0 when nothing
/// can be estimated.
struct Rate {
  Resource resource = &TaskSize::millicores;
  std::int64_t amount = 0;
};

auto IsExpectedToWork(const ShardWorker& worker) -> bool {
  return worker.listed && !worker.gone && !worker.drain_requested &&
         !worker.view.draining;
}

/// Returns the rate of the shard's workers; 0 while there is room, and while
/// fewer than half of them are usable, as after a change of owner, when they
/// become usable one after another.
auto FindPoolRate(const ShardState& state, TimePoint now) -> Rate {
  const UsableWorkers usable = FindUsableWorkers(state, now);
  const auto expected = std::count_if(
      state.workers.begin(), state.workers.end(),
      [](const auto& entry) -> bool { return IsExpectedToWork(entry.second); });
  if (2 * std::ssize(usable.workers) < expected) {
    return {};
  }
  Rate rate;
  std::int64_t free = 0;
  for (const UsableWorker& each : usable.workers) {
    rate.amount += each.worker->view.capacity.millicores -
                   each.worker->long_running_used.millicores;
    free += std::max<std::int64_t>(each.free.millicores, 0);
  }
  if (rate.amount <= 0 || free > rate.amount / kRoomDivisor) {
    return {};
  }
  return rate;
}

auto IsCounted(const ReadyStep& ready) -> bool {
  return ready.finite && !ready.expired && !SpecOf(ready).filler;
}

auto WorkOf(const ReadyStep& ready, const Rate& rate) -> WorkTime {
  const JobStep& step = SpecOf(ready);
  const int waiting = TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
  return WorkTime(step.estimate) * waiting *
         (static_cast<double>(step.size.*rate.resource) /
          static_cast<double>(rate.amount));
}

auto AddWork(ClassBacklog& backlog,
             const ReadyStep& ready,
             WorkTime work,
             WallTime wall_now) -> void {
  if (ready.late) {
    backlog.late += work;
    return;
  }
  const auto limit =
      std::lower_bound(kDeadlineLimits.begin(), kDeadlineLimits.end(),
                       ready.deadline - wall_now);
  backlog.in_time.at(
      static_cast<std::size_t>(limit - kDeadlineLimits.begin())) += work;
}

/// Returns what organisations over their share have of a rate beside the
/// others.
auto RateOverShare(const ShardState& state,
                   const std::vector<ReadyStep>& ready,
                   const Rate& rate,
                   TimePoint now) -> Rate {
  std::set<OrganisationName> over_share;
  for (const ReadyStep& each : ready) {
    if (each.over_share) {
      over_share.insert(each.job->request.organisation);
    }
  }
  const auto amount = static_cast<double>(rate.amount);
  const double left = amount - StartedMillicores(state.shares, over_share, now);
  Rate rest = rate;
  rest.amount =
      static_cast<std::int64_t>(std::max(left, kMinPartOverShare * amount));
  return rest;
}

/// Returns the waits that the work of the organisations over their share may
/// cause, by their weights among those with waiting work.
auto FindOwnWaits(const ShardState& state,
                  const std::vector<ReadyStep>& ready,
                  const Rate& rate) -> std::map<OrganisationName, WorkTime> {
  std::set<OrganisationName> competing;
  std::map<OrganisationName, WorkTime> waits;
  for (const ReadyStep& each : ready) {
    const OrganisationName& organisation = each.job->request.organisation;
    if (each.finite) {
      competing.insert(organisation);
    }
    if (each.over_share) {
      waits[organisation] += IsCounted(each) ? WorkOf(each, rate) : WorkTime(0);
    }
  }
  double weights = 0.0;
  for (const OrganisationName& organisation : competing) {
    const auto weight = state.shares.weights.find(organisation);
    weights += weight == state.shares.weights.end() ? 0.0 : weight->second;
  }
  for (auto& [organisation, wait] : waits) {
    // Only organisations with a weight can be over their share.
    wait *= weights / std::max(state.shares.weights.at(organisation), 1e-6);
  }
  return waits;
}

auto AddPoolStep(Backlog& backlog,
                 const ReadyStep& ready,
                 const Rate& rate,
                 const Rate& rate_over_share,
                 WallTime wall_now) -> void {
  PriorityBacklog& priority = backlog.pool[ready.priority];
  if (ready.over_share) {
    AddWork(priority.over_share, ready, WorkOf(ready, rate_over_share),
            wall_now);
  } else {
    AddWork(priority.within_share, ready, WorkOf(ready, rate), wall_now);
  }
}

/// Returns the rate at which an organisation's limit lets its work complete, by
/// the resource of which the limit lets the work take longest; of a resource
/// with a limit of 0 nothing can be estimated.
auto FindCapRate(const std::vector<const ReadyStep*>& steps,
                 const TaskSize& limit) -> Rate {
  Rate slowest;
  WorkTime longest{0};
  for (const Resource resource : kResources) {
    const Rate rate{resource, limit.*resource};
    if (rate.amount <= 0) {
      continue;
    }
    WorkTime work{0};
    for (const ReadyStep* step : steps) {
      work += WorkOf(*step, rate);
    }
    if (work > longest) {
      longest = work;
      slowest = rate;
    }
  }
  return slowest;
}

/// Adds the work of the organisations whose limits have been too low for a
/// while.
auto AddCapped(
    Backlog& backlog,
    const std::map<OrganisationName, std::vector<const ReadyStep*>>& capped,
    const CapWaits& cap_waits,
    WallTime wall_now,
    TimePoint now) -> void {
  for (const auto& [organisation, steps] : capped) {
    const auto wait = cap_waits.find(organisation);
    if (wait == cap_waits.end() || now - wait->second.since < kCapSettled) {
      continue;
    }
    const Rate limit = FindCapRate(steps, wait->second.limit);
    if (limit.amount == 0) {
      continue;
    }
    for (const ReadyStep* step : steps) {
      AddWork(backlog.capped[organisation][step->priority].within_share, *step,
              WorkOf(*step, limit), wall_now);
    }
  }
}

auto UpdateCapWaits(const ShardState& state, CapWaits& cap_waits, TimePoint now)
    -> void {
  CapWaits current;
  for (const OrganisationName& name : state.quota.blocked) {
    const auto limit = state.quota.grant.limits.find(name);
    if (limit == state.quota.grant.limits.end()) {
      continue;
    }
    const auto known = cap_waits.find(name);
    const bool same =
        known != cap_waits.end() && known->second.limit == limit->second;
    current[name] = same ? known->second : CapWait{now, limit->second};
  }
  cap_waits = std::move(current);
}

auto SumOf(const ClassBacklog& backlog) -> WorkTime {
  return std::accumulate(backlog.in_time.begin(), backlog.in_time.end(),
                         backlog.late);
}

auto SumOf(const PriorityBacklogs& backlogs) -> WorkTime {
  WorkTime sum{0};
  for (const auto& [priority, backlog] : backlogs) {
    sum += SumOf(backlog.within_share) + SumOf(backlog.over_share);
  }
  return sum;
}

}  // namespace

auto MeasureBacklog(ShardState& state,
                    CapWaits& cap_waits,
                    WallTime wall_now,
                    TimePoint now) -> Backlog {
  Backlog backlog;
  UpdateCapWaits(state, cap_waits, now);
  // Work that only a cap keeps from starting is no backlog of the pool.
  const bool waits = state.has_backlog || !state.quota.blocked.empty();
  if (state.shares.weights.empty() || !waits) {
    return backlog;
  }
  std::vector<ReadyStep> ready = CollectReadySteps(state, wall_now);
  MarkOverShare(state, ready, now);
  const Rate rate = FindPoolRate(state, now);
  const Rate rate_over_share = RateOverShare(state, ready, rate, now);
  if (rate.amount > 0) {
    backlog.over_share = FindOwnWaits(state, ready, rate);
  }
  std::map<OrganisationName, std::vector<const ReadyStep*>> capped;
  for (const ReadyStep& each : ready) {
    const OrganisationName& organisation = each.job->request.organisation;
    if (!IsCounted(each)) {
      continue;
    }
    if (state.quota.blocked.contains(organisation)) {
      capped[organisation].push_back(&each);
    } else if (rate_over_share.amount > 0) {
      AddPoolStep(backlog, each, rate, rate_over_share, wall_now);
    }
  }
  AddCapped(backlog, capped, cap_waits, wall_now, now);
  return backlog;
}

auto LongestWait(const Backlog& backlog) -> WorkTime {
  WorkTime longest = SumOf(backlog.pool);
  for (const auto& [organisation, backlogs] : backlog.capped) {
    longest = std::max(longest, SumOf(backlogs));
  }
  return longest;
}

}  // namespace fireflythread
