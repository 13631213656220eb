#ifndef FIREFLYTHREAD_JOBS_RUN_COMPLETION_H_
#define FIREFLYTHREAD_JOBS_RUN_COMPLETION_H_

#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {

/// Applies the completion of a task's newest run.
auto ApplyCompletion(ShardState& state,
                     const RunCompletion& ended,
                     TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RUN_COMPLETION_H_
