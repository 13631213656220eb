#ifndef FIREFLYTHREAD_JOBS_JOB_PROGRESS_H_
#define FIREFLYTHREAD_JOBS_JOB_PROGRESS_H_

#include <cstdint>
#include <vector>

#include "fireflythread/jobs/task_state.h"

namespace fireflythread {

enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled
};

/// The progress of a job: its state and its tasks, ordered by occurrence, step
/// and index. Written only by the owner of the job's shard.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<TaskState> tasks;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_PROGRESS_H_
