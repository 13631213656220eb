#ifndef FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
#define FIREFLYTHREAD_JOBS_SHARD_PLAN_H_

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Gives workers to the tasks whose turn has come, the most urgent first.
/// Their runs begin once the batch with them is stored.
auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_PLAN_H_
