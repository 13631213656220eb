#ifndef FIREFLYTHREAD_JOBS_WAITING_STEP_H_
#define FIREFLYTHREAD_JOBS_WAITING_STEP_H_

#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// A step with tasks that may run and have no worker, and what its shard's
/// workers have left. It tells an operator why a job waits.
struct WaitingStep {
  JobId job;
  int step = 0;
  int waiting_tasks = 0;
  /// Time since the job was accepted or its occurrence was due, or since the
  /// newest run of the task that waits longest has ended.
  Duration waited{0};
  /// The job is not expected to meet its deadline any more.
  bool late = false;
  bool long_running = false;
  /// What one task needs on one worker.
  TaskSize need;
  /// Workers that may get starts, those of them that have room for one of the
  /// tasks, those that would have it if their finite tasks ended, and those
  /// that run a task of a long-running step.
  int usable_workers = 0;
  int fitting_workers = 0;
  int emptying_workers = 0;
  int long_running_workers = 0;
  /// Workers that get no starts because they are to leave.
  int leaving_workers = 0;
  /// The most that any usable worker has free, of each resource.
  TaskSize max_free;
};

/// Returns the step whose tasks have waited longest, if that is at least
/// `min_wait`.
[[nodiscard]] auto FindLongestWait(const ShardState& state,
                                   Duration min_wait,
                                   WallTime wall_now,
                                   TimePoint now) -> std::optional<WaitingStep>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WAITING_STEP_H_
