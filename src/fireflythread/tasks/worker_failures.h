#ifndef FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_
#define FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_

#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/tasks/task_limits.h"

namespace fireflythread {

/// The tasks that one worker has failed lately, and when.
struct WorkerFailures {
  std::map<TaskId, TimePoint> failed;
  /// Until when the worker gets no tasks.
  std::optional<TimePoint> paused_until;
};

/// Notes a failed task; pauses the worker when it fails many at once.
auto RecordTaskFailure(WorkerFailures& worker,
                       const TaskId& task,
                       const TaskLimits& limits,
                       TimePoint now) -> void;

/// A worker that finishes a task is sound.
auto RecordTaskSuccess(WorkerFailures& worker) -> void;

[[nodiscard]] auto IsPaused(const WorkerFailures& worker, TimePoint now)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_WORKER_FAILURES_H_
