#include "fireflythread/jobs/usable_workers.h"

#include <algorithm>
#include <limits>

#include "fireflythread/base/assert.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/unresponsive_workers.h"

namespace fireflythread {
namespace {

/// A worker lists a limited number of completions. With so many that it may
/// forget it gets no starts until it is told so, which has to wait until all
/// starts are answered.
constexpr std::uint64_t kMaxUnacknowledged = 100;

auto IsUsable(const ShardWorker& worker, TimePoint now) -> bool {
  const bool full = worker.last_stored_completion >=
                    worker.acknowledged_completion + kMaxUnacknowledged;
  return !full && worker.listed && worker.confirmed && worker.clock &&
         !worker.view.draining && !worker.drain_requested && !worker.gone &&
         worker.failed_polls == 0 && now >= worker.cooldown_until;
}

auto FreeCapacity(const ShardWorker& worker) -> TaskSize {
  return Minus(worker.view.capacity, worker.used);
}

auto CapacityWithoutFinite(const ShardWorker& worker) -> TaskSize {
  return Minus(worker.view.capacity, worker.long_running_used);
}

auto MaxOfEach(const TaskSize& left, const TaskSize& right) -> TaskSize {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

auto UpdateMaxima(UsableWorkers& usable) -> void {
  // Below any need, which is never negative.
  constexpr TaskSize kNothing{-1, -1, -1};
  usable.max_free = kNothing;
  usable.max_without_finite = kNothing;
  for (const UsableWorker& each : usable.workers) {
    usable.max_free = MaxOfEach(usable.max_free, each.free);
    usable.max_without_finite = MaxOfEach(usable.max_without_finite,
                                          CapacityWithoutFinite(*each.worker));
  }
  usable.cost.workers += static_cast<std::int64_t>(usable.workers.size());
}

auto FindUsable(UsableWorkers& usable, const WorkerId& worker)
    -> std::vector<UsableWorker>::iterator {
  const auto found = std::lower_bound(
      usable.workers.begin(), usable.workers.end(), worker,
      [](const UsableWorker& each, const WorkerId& id) -> bool {
        return *each.id < id;
      });
  const bool is_usable = found != usable.workers.end() && *found->id == worker;
  return is_usable ? found : usable.workers.end();
}

auto MissesFor(UsableWorkers& usable, CapacityRule rule)
    -> std::vector<CapacityNeed>& {
  return rule == CapacityRule::kFree ? usable.free_misses
                                     : usable.without_finite_misses;
}

/// Returns how many tasks fit into the capacity of one resource.
auto CountFitting(std::int64_t each, std::int64_t capacity) -> std::int64_t {
  if (each > capacity) {
    return 0;
  }
  return each > 0 ? capacity / each : std::numeric_limits<int>::max();
}

}  // namespace

auto FindUsableWorkers(const ShardState& state, TimePoint now)
    -> UsableWorkers {
  UsableWorkers usable;
  usable.now = now;
  usable.workers.reserve(state.workers.size());
  for (const auto& [id, worker] : state.workers) {
    if (IsUsable(worker, now) && MayGetLease(state, id)) {
      usable.workers.push_back({&id, &worker, FreeCapacity(worker)});
    }
  }
  usable.cost.workers += static_cast<std::int64_t>(state.workers.size());
  UpdateMaxima(usable);
  return usable;
}

auto UpdateFreeCapacity(UsableWorkers& usable, const WorkerId& worker) -> void {
  const auto found = FindUsable(usable, worker);
  if (found == usable.workers.end()) {
    return;
  }
  const TaskSize before = found->free;
  found->free = FreeCapacity(*found->worker);
  if (!Fits(found->free, before)) {
    usable.free_misses.clear();
    usable.without_finite_misses.clear();
  }
  UpdateMaxima(usable);
}

auto ReserveCapacity(UsableWorkers& usable, const WorkerId& worker) -> void {
  const auto found = FindUsable(usable, worker);
  FIREFLYTHREAD_ASSERT(found != usable.workers.end(),
                       "a reserved worker must be usable");
  usable.workers.erase(found);
  usable.reserved = true;
  UpdateMaxima(usable);
}

auto CapacityUnder(const UsableWorker& worker, CapacityRule rule) -> TaskSize {
  return rule == CapacityRule::kFree ? worker.free
                                     : CapacityWithoutFinite(*worker.worker);
}

auto IsKnownMiss(const UsableWorkers& usable,
                 const CapacityNeed& need,
                 CapacityRule rule) -> bool {
  const bool free = rule == CapacityRule::kFree;
  if (!Fits(need.each, free ? usable.max_free : usable.max_without_finite)) {
    return true;
  }
  const auto& misses = free ? usable.free_misses : usable.without_finite_misses;
  return std::any_of(
      misses.begin(), misses.end(), [&need](const CapacityNeed& miss) -> bool {
        return miss.count <= need.count && Fits(miss.each, need.each) &&
               (miss.label.empty() || miss.label == need.label);
      });
}

auto RecordMiss(UsableWorkers& usable,
                const CapacityNeed& need,
                CapacityRule rule) -> void {
  MissesFor(usable, rule).push_back(need);
}

auto HasCapacityForAll(UsableWorkers& usable, const CapacityNeed& need)
    -> bool {
  std::int64_t capacity = 0;
  for (const UsableWorker& each : usable.workers) {
    ++usable.cost.workers;
    capacity += std::min(
        {CountFitting(need.each.millicores, each.free.millicores),
         CountFitting(need.each.memory_mb, each.free.memory_mb),
         CountFitting(need.each.accelerators, each.free.accelerators)});
    if (capacity >= need.count) {
      return true;
    }
  }
  return false;
}

}  // namespace fireflythread
