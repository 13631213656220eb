#ifndef FIREFLYTHREAD_JOBS_RUN_END_H_
#define FIREFLYTHREAD_JOBS_RUN_END_H_

#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {

/// Takes in the end of a task's newest run.
auto TakeRunEnd(ShardState& state, const EndedRun& ended, TimePoint now)
    -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RUN_END_H_
