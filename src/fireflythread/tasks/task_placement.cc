#include "fireflythread/tasks/task_placement.h"

#include <algorithm>
#include <cmath>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/tasks/task_codec.h"
#include "fireflythread/tasks/task_inputs.h"
#include "fireflythread/tasks/task_memory.h"

namespace fireflythread {
namespace {

auto Fits(const TaskRecord& task, const VmRecord& vm) -> bool {
  return task.cores <= vm.cores && task.memory_mb <= vm.memory_mb;
}

auto SlotsForTasks(const TaskInputs& inputs, const PoolName& pool) -> int {
  const auto spec = inputs.config->pools.find(pool);
  const int slots = spec == inputs.config->pools.end()
                        ? PoolSpec{}.slots_per_worker
                        : spec->second.slots_per_worker;
  return std::max(
      1, static_cast<int>(std::floor(slots * inputs.limits.slot_share)));
}

}  // namespace

auto MakeTaskPlacement(const TaskInputs& inputs, const TaskMemory& memory)
    -> TaskPlacement {
  TaskPlacement placement;
  for (const auto& [id, task] : *inputs.tasks) {
    if (!task.worker.empty() && !IsFinal(task.state)) {
      ++placement.leased_tasks[task.worker];
    }
  }
  for (const auto& [vm, record] : inputs.fleet->vms) {
    const auto failures = memory.failures.find(vm);
    const bool paused = failures != memory.failures.end() &&
                        IsPaused(failures->second, inputs.now);
    if (record.state == VmState::kServing && !inputs.lost.contains(vm) &&
        !paused) {
      placement.pools[record.pool].push_back(&record);
    }
  }
  return placement;
}

auto PlaceTask(const TaskInputs& inputs,
               const TaskRecord& task,
               TaskPlacement& placement) -> std::optional<VmId> {
  const auto service = inputs.config->services.find(task.service);
  if (service == inputs.config->services.end()) {
    return std::nullopt;
  }
  const VmRecord* best = nullptr;
  int fewest_tasks = SlotsForTasks(inputs, service->second.pool);
  for (const VmRecord* vm : placement.pools[service->second.pool]) {
    const auto leased_tasks = placement.leased_tasks.find(vm->id);
    const int tasks =
        leased_tasks == placement.leased_tasks.end() ? 0 : leased_tasks->second;
    const bool failed_here =
        std::find(task.failed_on.begin(), task.failed_on.end(), vm->id) !=
        task.failed_on.end();
    if (tasks < fewest_tasks && !failed_here && Fits(task, *vm)) {
      best = vm;
      fewest_tasks = tasks;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++placement.leased_tasks[best->id];
  return best->id;
}

auto UnplaceableReason(const TaskInputs& inputs, const TaskRecord& task)
    -> std::string {
  if (!inputs.config->services.contains(task.service)) {
    return "service " + task.service.value + " does not exist";
  }
  const auto& vms = inputs.fleet->vms;
  const bool fits =
      std::any_of(vms.begin(), vms.end(),
                  [&task](const auto& vm) { return Fits(task, vm.second); });
  return fits || vms.empty() ? "" : "the declared size exceeds every worker";
}

}  // namespace fireflythread
