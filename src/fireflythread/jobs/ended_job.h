#ifndef FIREFLYTHREAD_JOBS_ENDED_JOB_H_
#define FIREFLYTHREAD_JOBS_ENDED_JOB_H_

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/job_progress.h"

namespace fireflythread {

/// What the store keeps of a job that has ended.
struct EndedJob {
  JobState state = JobState::kCompleted;
  /// When the owner wrote this; the job ended shortly before.
  WallTime ended_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_JOB_H_
