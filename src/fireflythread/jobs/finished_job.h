#ifndef FIREFLYTHREAD_JOBS_FINISHED_JOB_H_
#define FIREFLYTHREAD_JOBS_FINISHED_JOB_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/job_progress.h"

namespace fireflythread {

/// A job that has ended and has no run left, as the owner keeps it in memory.
struct FinishedJob {
  JobState state = JobState::kCompleted;
  /// Version of the progress row.
  std::uint64_t version = 0;
  /// Version of the cancellation row; 0 while none is known.
  std::uint64_t cancel_version = 0;
  /// Organisation of the job; empty for none.
  OrganisationName organisation = {};
};

/// A finished job whose rows were moved to the table of ended jobs.
struct MovedJob {
  JobId job;
  TimePoint moved_at;
  /// Revision of the move or of a later transaction; 0 while neither is known.
  std::uint64_t revision = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_FINISHED_JOB_H_
