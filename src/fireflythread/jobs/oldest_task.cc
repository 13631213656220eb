#include "fireflythread/jobs/oldest_task.h"

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

auto FindOldestTasks(const ShardState& state, TimePoint now)
    -> std::map<RunPhase, OldestTask> {
  std::map<RunPhase, OldestTask> oldest;
  for (const auto& [id, worker] : state.workers) {
    for (const TaskName& name : worker.tasks) {
      const TaskState& task = TaskOf(state, name);
      const Duration in_phase = now - task.since;
      const auto found = oldest.find(task.phase);
      if (found == oldest.end() || found->second.in_phase < in_phase) {
        oldest[task.phase] = {name, task.run, id, in_phase};
      }
    }
  }
  return oldest;
}

}  // namespace fireflythread
