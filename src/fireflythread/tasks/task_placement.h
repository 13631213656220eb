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

/// Tasks that each VM holds and the VMs of each pool that may get more.
struct TaskPlacement {
  std::map<PoolName, std::vector<const VmRecord*>> pools;
  std::map<VmId, int> leased_tasks;
};

/// Counts the leases of the rows. VMs that are not serving, lost or paused for
/// failures get no tasks.
[[nodiscard]] auto MakeTaskPlacement(const TaskInputs& inputs,
                                     const TaskMemory& memory) -> TaskPlacement;

/// The VM for a task: of its service's pool, large enough, with a free slot in
/// the share for tasks, not one that failed it; the one with the fewest tasks.
/// Counts the task there.
[[nodiscard]] auto PlaceTask(const TaskInputs& inputs,
                             const TaskRecord& task,
                             TaskPlacement& placement) -> std::optional<VmId>;

/// Why a task can never be placed: its service is unknown or its declared size
/// exceeds every VM of the cell; empty otherwise.
[[nodiscard]] auto UnplaceableReason(const TaskInputs& inputs,
                                     const TaskRecord& task) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_PLACEMENT_H_
