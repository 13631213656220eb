#ifndef FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
#define FIREFLYTHREAD_JOBS_SHARD_PLAN_H_

#include <cstdint>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Gives workers to the tasks whose turn has come, the most urgent first.
/// Their runs begin once the batch with them is stored.
auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

/// Cores of the finite tasks whose turn has come and that wait for room, in
/// jobs that can still be in time.
[[nodiscard]] auto WaitingMillicores(ShardState& state,
                                     WallTime wall_now,
                                     TimePoint now) -> std::int64_t;

/// Cores of the finite tasks that run in jobs that are late already.
[[nodiscard]] auto LateMillicores(const ShardState& state, WallTime wall_now)
    -> std::int64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
