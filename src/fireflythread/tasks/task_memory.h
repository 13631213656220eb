#ifndef FIREFLYTHREAD_TASKS_TASK_MEMORY_H_
#define FIREFLYTHREAD_TASKS_TASK_MEMORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/tasks/worker_failures.h"

namespace fireflythread {

/// The controller's state of a task's current lease.
struct TaskTimer {
  std::uint64_t fence = 0;
  /// When the lease was last granted or renewed. A new controller sets it to
  /// the time when it first saw the task, because its predecessor may have
  /// renewed the lease until then.
  TimePoint last_renewed;
  std::optional<TimePoint> last_command;
  /// Since when the reports have not included this lease.
  std::optional<TimePoint> unreported_since;
  /// Time of the first unanswered command since the worker last answered one.
  std::optional<TimePoint> unanswered_since;
};

/// The controller's state between steps. It may be lost: a new controller
/// starts with an empty state.
struct TaskMemory {
  std::map<TaskId, TaskTimer> timers;
  std::map<VmId, WorkerFailures> failures;
  /// Number of steps so far; makes the nonces of transactions unique.
  std::uint64_t steps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_MEMORY_H_
