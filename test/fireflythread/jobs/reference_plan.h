#ifndef TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_
#define TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_

#include <cstdint>
#include <map>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread::test {

/// What PlanRuns() has to decide, computed without counts, bounds or memory of
/// earlier searches: each step of each job and each worker is looked at.
auto ReferencePlanRuns(ShardState& state, WallTime wall_now, TimePoint now)
    -> void;

/// The same for WaitingMillicores().
[[nodiscard]] auto ReferenceWaitingMillicores(ShardState& state,
                                              WallTime wall_now,
                                              TimePoint now) -> std::int64_t;

/// The same for LateMillicores().
[[nodiscard]] auto ReferenceLateMillicores(const ShardState& state,
                                           WallTime wall_now) -> std::int64_t;

/// Lasting tasks on each listed worker, by the workers' own sets of tasks.
[[nodiscard]] auto ReferenceLongRunningTasks(const ShardState& state)
    -> std::map<WorkerId, int>;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_
