#ifndef FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_
#define FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_

#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/tasks/task_decision.h"
#include "fireflythread/tasks/task_inputs.h"
#include "fireflythread/tasks/task_memory.h"

namespace fireflythread {

/// Runs one step of the controller for long-running tasks. The daemon calls it
/// while it holds the controller lease and has no outstanding transaction for
/// the `task` table. The command that starts a task is issued only after its
/// row is in state kRunning.
[[nodiscard]] auto DecideTasks(const TaskInputs& inputs, TaskMemory& memory)
    -> TaskDecision;

/// Returns the VMs that hold a task's lease; a drain of a VM waits until it
/// holds none.
[[nodiscard]] auto VmsWithTasks(const std::map<TaskId, TaskRecord>& tasks)
    -> std::set<VmId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_SCHEDULER_H_
