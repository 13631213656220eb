#ifndef FIREFLYTHREAD_JOBS_JOB_URGENCY_H_
#define FIREFLYTHREAD_JOBS_JOB_URGENCY_H_

#include <chrono>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/queue_terms.h"

namespace fireflythread {

/// A result that comes later than this many times the latency objective is of
/// no use to its caller.
inline constexpr int kUsefulObjectives = 3;

/// Returns the time by which one occurrence of a job should be done: the
/// latency objective in its terms, counted from its acceptance or its due time,
/// whichever is later.
[[nodiscard]] auto DeadlineOf(const ShardJob& job,
                              const QueueTerms& terms,
                              int occurrence) -> WallTime;

/// Returns the estimated run time from the start of step `first` to the end of
/// the job along the critical path. `first` may be the number of steps.
[[nodiscard]] auto RemainingCriticalPath(const JobRequest& job, int first)
    -> std::chrono::milliseconds;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_URGENCY_H_
