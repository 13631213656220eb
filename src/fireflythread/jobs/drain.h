#ifndef FIREFLYTHREAD_JOBS_DRAIN_H_
#define FIREFLYTHREAD_JOBS_DRAIN_H_

#include <set>
#include <vector>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Sets the workers that are to be drained; all others get work again.
auto SetDraining(ShardState& state, const std::set<WorkerId>& workers) -> void;

/// Stops long-running tasks on workers that are to be drained or that drain
/// themselves, so that they start elsewhere. Never makes more tasks of a step
/// unavailable than its disruption budget.
auto EvictLongRunning(ShardState& state, TimePoint now) -> void;

/// Returns the workers that are to be drained and run nothing.
[[nodiscard]] auto DrainedWorkers(const ShardState& state)
    -> std::vector<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_DRAIN_H_
