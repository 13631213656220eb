#ifndef FIREFLYTHREAD_JOBS_SHARD_JOB_H_
#define FIREFLYTHREAD_JOBS_SHARD_JOB_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// A job in the memory of its shard's owner.
struct ShardJob {
  JobRequest request;
  JobProgress progress;
  /// Version of the progress row; 0 while there is none.
  std::uint64_t version = 0;
  /// Version of the cancellation's row; 0 while none is known.
  std::uint64_t cancel_version = 0;
  /// The progress is on its way to the store.
  bool storing = false;
  /// Place of each step's first task within an occurrence.
  std::vector<std::size_t> step_offsets;
  std::size_t tasks_per_occurrence = 0;
  /// A task has run.
  bool began = false;
  /// Tasks with a run that may exist.
  int assigned = 0;
};

[[nodiscard]] auto MakeShardJob(JobRequest request) -> ShardJob;

/// Tasks of all occurrences.
[[nodiscard]] auto TaskCount(const JobRequest& request) -> std::size_t;

[[nodiscard]] auto IsFinal(JobState state) -> bool;

/// Where a task stands in `progress.tasks`. The name must be of this job and
/// within its steps.
[[nodiscard]] auto TaskPlace(const ShardJob& job,
                             int occurrence,
                             int step,
                             int index) -> std::size_t;

/// Null when the job has no such task.
[[nodiscard]] auto FindTask(ShardJob& job, const TaskName& name) -> TaskState*;

/// Whether all tasks of one step of one occurrence are done.
[[nodiscard]] auto IsStepDone(const ShardJob& job, int occurrence, int step)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_JOB_H_
