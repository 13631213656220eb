#ifndef FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_
#define FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_

#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/tasks/task_limits.h"

namespace fireflythread {

/// The tasks that one worker has failed recently, with the times.
struct WorkerFailures {
  std::map<TaskId, TimePoint> failed;
  /// Until when the worker gets no tasks.
  std::optional<TimePoint> paused_until;
};

/// Records a failed task; pauses the worker when it has failed too many within
/// `failure_window`.
auto RecordTaskFailure(WorkerFailures& worker,
                       const TaskId& task,
                       const TaskLimits& limits,
                       TimePoint now) -> void;

/// Clears a worker's failures and its pause after it has finished a task.
auto RecordTaskSuccess(WorkerFailures& worker) -> void;

/// Returns true while the worker gets no tasks because of failures.
[[nodiscard]] auto IsPaused(const WorkerFailures& worker, TimePoint now)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_
