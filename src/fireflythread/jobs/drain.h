#ifndef FIREFLYTHREAD_JOBS_DRAIN_H_
#define FIREFLYTHREAD_JOBS_DRAIN_H_

#include <set>
#include <vector>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Sets the workers that are to be emptied; others get work again.
auto SetDraining(ShardState& state, const std::set<WorkerId>& workers) -> void;

/// Stops lasting tasks on workers that are emptied or that drain, so that they
/// start elsewhere: never more of a step at a time than its disruption budget.
auto EvictLongRunning(ShardState& state, TimePoint now) -> void;

/// Workers that are to be emptied and run nothing.
[[nodiscard]] auto DrainedWorkers(const ShardState& state)
    -> std::vector<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_DRAIN_H_
