#ifndef FIREFLYTHREAD_TASKS_TASK_STEP_H_
#define FIREFLYTHREAD_TASKS_TASK_STEP_H_

#include <cstdint>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/tasks/fwd.h"

namespace fireflythread {

/// Takes whether the platform passed a command on to the worker. An answer that
/// belongs to an earlier lease has no effect.
auto RecordCommandResult(TaskMemory& memory,
                         const TaskId& task,
                         std::uint64_t fence,
                         bool answered,
                         TimePoint now) -> void;

/// Advances a task that has a worker, by what the worker reported under the
/// present fence (null when nothing) and by the worker's VM. Adds commands to
/// the decision. Gives the changed record, or no value when the row stays.
[[nodiscard]] auto StepLeasedTask(const TaskInputs& inputs,
                                  const TaskRecord& task,
                                  const WorkerTaskReport* report,
                                  TaskMemory& memory,
                                  TaskDecision& decision)
    -> std::optional<TaskRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_STEP_H_
