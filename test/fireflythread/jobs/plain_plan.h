#ifndef TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_
#define TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_

#include <cstdint>
#include <map>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread::test {

/// What PlanRuns() has to decide, computed without counts, bounds or memory of
/// earlier searches: each step of each job and each worker is looked at.
auto PlainPlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

/// The same for WaitingMillicores().
[[nodiscard]] auto PlainWaitingMillicores(ShardState& state,
                                          WallTime wall_now,
                                          TimePoint now) -> std::int64_t;

/// The same for LateMillicores().
[[nodiscard]] auto PlainLateMillicores(const ShardState& state,
                                       WallTime wall_now) -> std::int64_t;

/// Lasting tasks on each listed worker, by the workers' own sets of tasks.
[[nodiscard]] auto PlainLastingTasks(const ShardState& state)
    -> std::map<WorkerId, int>;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_
