#ifndef FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
#define FIREFLYTHREAD_JOBS_SHARD_PLAN_H_

#include <cstdint>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Assigns workers to the ready tasks, the most urgent first. Their runs start
/// once the batch with their records is stored.
auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

/// Returns the cores, in thousandths, of the finite tasks that are ready and
/// wait for capacity, in jobs that can still meet their deadlines.
[[nodiscard]] auto WaitingMillicores(ShardState& state,
                                     WallTime wall_now,
                                     TimePoint now) -> std::int64_t;

/// Returns the cores, in thousandths, of the running finite tasks of jobs that
/// are already late.
[[nodiscard]] auto LateMillicores(const ShardState& state, WallTime wall_now)
    -> std::int64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
