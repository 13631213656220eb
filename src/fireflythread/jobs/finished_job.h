#ifndef FIREFLYTHREAD_JOBS_FINISHED_JOB_H_
#define FIREFLYTHREAD_JOBS_FINISHED_JOB_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/job_progress.h"

namespace fireflythread {

/// What the owner remembers of a job that has ended and has no run left.
struct FinishedJob {
  JobState state = JobState::kCompleted;
  /// Version of the progress row.
  std::uint64_t version = 0;
  /// Version of the cancellation's row; 0 while none is known.
  std::uint64_t cancel_version = 0;
};

/// A finished job whose rows are in the table of ended jobs.
struct MovedJob {
  JobId job;
  TimePoint moved_at;
  /// Revision of the move, or of a later transaction; 0 while neither is known.
  std::uint64_t revision = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_FINISHED_JOB_H_
