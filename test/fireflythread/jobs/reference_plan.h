#ifndef TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_
#define TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_

#include <cstdint>
#include <map>

#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/waiting_work.h"

namespace fireflythread::test {

/// Reference implementation of PlanRuns(), without counts, limits or records of
/// earlier searches: it examines every step of every job and every worker.
auto ReferencePlanRuns(ShardState& state, WallTime wall_now, TimePoint now)
    -> void;

/// Reference implementation of MeasureWaitingWork().
[[nodiscard]] auto ReferenceWaitingWork(ShardState& state,
                                        WallTime wall_now,
                                        TimePoint now) -> WaitingWork;

/// Reference implementation of LateMillicores().
[[nodiscard]] auto ReferenceLateMillicores(const ShardState& state,
                                           WallTime wall_now) -> std::int64_t;

/// Returns the number of long-running tasks on each listed worker, counted from
/// the workers' own sets of tasks.
[[nodiscard]] auto ReferenceLongRunningTasks(const ShardState& state)
    -> std::map<WorkerId, int>;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_REFERENCE_PLAN_H_
