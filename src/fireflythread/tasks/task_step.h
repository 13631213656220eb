#ifndef FIREFLYTHREAD_TASKS_TASK_STEP_H_
#define FIREFLYTHREAD_TASKS_TASK_STEP_H_

#include <cstdint>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/tasks/fwd.h"

namespace fireflythread {

/// Records whether the platform delivered a command to the worker. A result
/// that belongs to an earlier lease is ignored.
auto RecordCommandResult(TaskMemory& memory,
                         const TaskId& task,
                         std::uint64_t fence,
                         bool answered,
                         TimePoint now) -> void;

/// Advances a task that is leased to a worker, based on the worker's report
/// under the current fencing token (null when there is none) and on the state
/// of the worker's VM. Adds commands to the decision. Returns the changed
/// record, or no value when the row does not change.
[[nodiscard]] auto StepLeasedTask(const TaskInputs& inputs,
                                  const TaskRecord& task,
                                  const WorkerTaskReport* report,
                                  TaskMemory& memory,
                                  TaskDecision& decision)
    -> std::optional<TaskRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_STEP_H_
