#ifndef FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_
#define FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_

#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/tasks/task_decision.h"
#include "fireflythread/tasks/task_inputs.h"
#include "fireflythread/tasks/task_memory.h"

namespace fireflythread {

/// One step of the controller for long tasks. The daemon calls it while it
/// holds the lease and has no transaction outstanding for the `task` table. A
/// task is started by command only after its row says that it runs.
[[nodiscard]] auto DecideTasks(const TaskInputs& inputs, TaskMemory& memory)
    -> TaskDecision;

/// VMs that hold a task's lease; a drain waits for them.
[[nodiscard]] auto VmsWithTasks(const std::map<TaskId, TaskRecord>& tasks)
    -> std::set<VmId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_
