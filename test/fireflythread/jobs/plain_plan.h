#ifndef TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_
#define TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_

#include <cstdint>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread::test {

/// What PlanRuns() has to decide, computed without counts, bounds or memory of
/// earlier searches: each step of each job and each worker is looked at.
auto PlainPlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

/// The same for WaitingMillicores().
[[nodiscard]] auto PlainWaitingMillicores(ShardState& state,
                                          WallTime wall_now,
                                          TimePoint now) -> std::int64_t;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_PLAIN_PLAN_H_
