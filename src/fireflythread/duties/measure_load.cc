#include "fireflythread/duties/measure_load.h"

#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/jobs/shard_plan.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {
namespace {

/// Adds the assigned long-running tasks of a job to their workers' loads.
auto CountLongRunning(const ShardJob& job, PoolLoad& load) -> void {
  const auto steps = static_cast<int>(job.request.steps.size());
  const int occurrences = OccurrenceCount(job.request);
  for (int step = 0; step < steps; ++step) {
    const JobStep& spec = job.request.steps[static_cast<std::size_t>(step)];
    if (!spec.long_running) {
      continue;
    }
    for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
      for (int index = 0; index < spec.count; ++index) {
        const TaskState& task =
            job.progress.tasks[TaskIndex(job, occurrence, step, index)];
        const auto worker = load.workers.find(task.worker);
        if (worker != load.workers.end()) {
          ++worker->second.long_running_tasks;
        }
      }
    }
  }
}

}  // namespace

auto MeasureLoad(ShardState& shard, WallTime wall_now, TimePoint now)
    -> PoolLoad {
  PoolLoad load;
  load.fence = shard.fence;
  load.waiting_millicores = WaitingMillicores(shard, wall_now, now);
  load.late_millicores = LateMillicores(shard, wall_now);
  load.arriving_millicores = ArrivingMillicores(shard, now);
  for (const auto& [id, worker] : shard.workers) {
    if (!worker.listed) {
      continue;
    }
    load.workers[id].used_millicores = worker.used.millicores;
  }
  for (const auto& [id, job] : shard.jobs) {
    if (job.assigned > 0) {
      CountLongRunning(job, load);
    }
  }
  return load;
}

}  // namespace fireflythread
