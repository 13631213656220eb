#ifndef FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
#define FIREFLYTHREAD_JOBS_SHARD_PLAN_H_

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Assigns workers to the ready tasks, the most urgent first. Their runs start
/// once the batch with their records is stored.
auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
