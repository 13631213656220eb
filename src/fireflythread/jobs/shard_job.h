#ifndef FIREFLYTHREAD_JOBS_SHARD_JOB_H_
#define FIREFLYTHREAD_JOBS_SHARD_JOB_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// Counts of the tasks of one step of one occurrence.
struct StepTally {
  /// Tasks in RunPhase::kWaiting.
  int waiting = 0;
  int done = 0;

  auto operator==(const StepTally&) const -> bool = default;
};

/// A job in the memory of its shard's owner. After MakeShardJob(), SetPhase()
/// and MarkDone() keep the counts consistent with the tasks.
struct ShardJob {
  JobRequest request;
  JobProgress progress;
  /// Version of the progress row; 0 while there is none.
  std::uint64_t version = 0;
  /// Version of the cancellation row; 0 while none is known.
  std::uint64_t cancel_version = 0;
  /// The progress is being stored.
  bool storing = false;
  /// Index of each step's first task within an occurrence.
  std::vector<std::size_t> step_offsets;
  std::size_t tasks_per_occurrence = 0;
  /// At least one task has run.
  bool has_started = false;
  /// Number of tasks with a run that may exist.
  int assigned = 0;
  /// One entry for each step of each occurrence, ordered by occurrence.
  std::vector<StepTally> tallies;
  /// Sums of the tallies.
  int waiting = 0;
  std::size_t done = 0;
  /// The first occurrence with a task that is not done.
  int first_unfinished = 0;
  /// RemainingCriticalPath() of each step, and zero after the last.
  std::vector<std::chrono::milliseconds> remaining_critical_paths;
};

[[nodiscard]] auto MakeShardJob(JobRequest request) -> ShardJob;

/// Returns the number of tasks in all occurrences.
[[nodiscard]] auto TaskCount(const JobRequest& request) -> std::size_t;

[[nodiscard]] auto IsFinal(JobState state) -> bool;

/// Returns the index of a task in `progress.tasks`. The occurrence, step and
/// index must exist in the job.
[[nodiscard]] auto TaskIndex(const ShardJob& job,
                             int occurrence,
                             int step,
                             int index) -> std::size_t;

/// Returns null when the job has no such task.
[[nodiscard]] auto FindTask(ShardJob& job, const TaskName& name) -> TaskState*;

/// Recounts the tasks after `progress` was replaced.
auto TallyTasks(ShardJob& job) -> void;

[[nodiscard]] auto TallyOf(const ShardJob& job, int occurrence, int step)
    -> const StepTally&;

/// Sets the phase of a task. The task must exist.
auto SetPhase(ShardJob& job, const TaskName& name, RunPhase phase) -> void;

/// Marks a task as done; a second call has no effect. The task must exist.
auto MarkDone(ShardJob& job, const TaskName& name) -> void;

/// Returns the number of tasks of one step of one occurrence with a run that
/// may exist.
[[nodiscard]] auto CountAssigned(const ShardJob& job, int occurrence, int step)
    -> int;

[[nodiscard]] auto IsJobDone(const ShardJob& job) -> bool;

/// Returns whether all tasks of one step of one occurrence are done.
[[nodiscard]] auto IsStepDone(const ShardJob& job, int occurrence, int step)
    -> bool;

/// Returns whether all steps that must be done before a step are done.
[[nodiscard]] auto AreDependenciesDone(const ShardJob& job,
                                       int occurrence,
                                       int step) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_JOB_H_
