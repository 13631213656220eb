#ifndef FIREFLYTHREAD_JOBS_ENDED_JOB_H_
#define FIREFLYTHREAD_JOBS_ENDED_JOB_H_

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/job_progress.h"

namespace fireflythread {

/// The stored record of a job that has ended.
struct EndedJob {
  JobState state = JobState::kCompleted;
  /// Time at which the owner wrote this record, shortly after the job ended.
  WallTime ended_at;
  /// Organisation of the job; empty for none.
  OrganisationName organisation = {};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_JOB_H_
