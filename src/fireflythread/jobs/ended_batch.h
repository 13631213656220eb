#ifndef FIREFLYTHREAD_JOBS_ENDED_BATCH_H_
#define FIREFLYTHREAD_JOBS_ENDED_BATCH_H_

#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/job_progress.h"

namespace fireflythread {

/// A job whose rows are replaced by a single row in the table of ended jobs.
struct EndedMove {
  JobId job;
  JobState state = JobState::kCompleted;
  /// Version of the progress row.
  std::uint64_t version = 0;
  /// Version of the cancellation row; 0 when none is known.
  std::uint64_t cancel_version = 0;
  /// Organisation of the job; empty for none.
  OrganisationName organisation = {};
};

/// The row of an orphaned cancellation: its job has no other row in the job
/// table.
struct OrphanedCancel {
  JobId job;
  std::uint64_t version = 0;
};

/// The changes to ended jobs that one transaction makes.
struct EndedBatch {
  std::vector<EndedMove> moves;
  std::vector<OrphanedCancel> cancels;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_BATCH_H_
