#ifndef FIREFLYTHREAD_TASKS_TASK_PLACEMENT_H_
#define FIREFLYTHREAD_TASKS_TASK_PLACEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/tasks/fwd.h"

namespace fireflythread {

/// The number of tasks leased to each VM, and the VMs of each pool that may get
/// tasks.
struct TaskPlacement {
  std::map<PoolName, std::vector<const VmRecord*>> pools;
  std::map<VmId, int> leased_tasks;
};

/// Counts the leases per VM and collects the VMs that may get tasks: those that
/// are serving, not lost and not paused because of failures.
[[nodiscard]] auto MakeTaskPlacement(const TaskInputs& inputs,
                                     const TaskMemory& memory) -> TaskPlacement;

/// Chooses the VM for a task and counts the task there; no value when there is
/// none. The VM must belong to the service's pool, be large enough, have a free
/// slot within the share for long-running tasks and not have failed the task.
/// Among these, the VM with the fewest tasks is chosen.
[[nodiscard]] auto PlaceTask(const TaskInputs& inputs,
                             const TaskRecord& task,
                             TaskPlacement& placement) -> std::optional<VmId>;

/// Returns why a task can never be placed: its service is unknown or its
/// declared size exceeds every VM of the cell. Returns an empty string
/// otherwise.
[[nodiscard]] auto UnplaceableReason(const TaskInputs& inputs,
                                     const TaskRecord& task) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_PLACEMENT_H_
