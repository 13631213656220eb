#ifndef FIREFLYTHREAD_JOBS_JOB_URGENCY_H_
#define FIREFLYTHREAD_JOBS_JOB_URGENCY_H_

#include <chrono>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"

namespace fireflythread {

/// The time at which one occurrence of a job should be done: its queue's
/// objective after its acceptance or its due time, whichever is later.
[[nodiscard]] auto DeadlineOf(const ShardJob& job,
                              const Queue& queue,
                              int occurrence) -> WallTime;

/// Estimated work from the start of one step to the end of the job, along the
/// longest chain of steps. `first` may be the number of steps.
[[nodiscard]] auto RemainingCriticalPath(const JobRequest& job, int first)
    -> std::chrono::milliseconds;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_URGENCY_H_
