#ifndef FIREFLYTHREAD_JOBS_VACATE_H_
#define FIREFLYTHREAD_JOBS_VACATE_H_

#include <set>
#include <vector>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Sets the workers that are to be emptied; others get work again.
auto SetVacating(ShardState& state, const std::set<WorkerId>& workers) -> void;

/// Stops lasting tasks on workers that are emptied or that drain, so that they
/// start elsewhere: never more of a step at a time than its disruption budget.
auto EvictLasting(ShardState& state, TimePoint now) -> void;

/// Workers that are to be emptied and run nothing.
[[nodiscard]] auto VacatedWorkers(const ShardState& state)
    -> std::vector<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_VACATE_H_
