#ifndef FIREFLYTHREAD_TASKS_TASK_MEMORY_H_
#define FIREFLYTHREAD_TASKS_TASK_MEMORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/tasks/worker_failures.h"

namespace fireflythread {

/// What the controller remembers of a task's present lease.
struct TaskTimer {
  std::uint64_t fence = 0;
  /// When the lease was last given or renewed; for a new controller, when it
  /// first saw the task, since its predecessor may have renewed until then.
  TimePoint last_renewed;
  std::optional<TimePoint> last_command;
  /// Since when reports have shown nothing of this lease.
  std::optional<TimePoint> unreported_since;
  /// The first of the commands that the worker has not answered since the last
  /// answered one.
  std::optional<TimePoint> unanswered_since;
};

/// What the controller remembers between steps; may be lost.
struct TaskMemory {
  std::map<TaskId, TaskTimer> timers;
  std::map<VmId, WorkerFailures> failures;
  /// Makes the nonces of transactions distinct.
  std::uint64_t steps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_MEMORY_H_
