#include "fireflythread/duties/measure_load.h"

#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/jobs/shard_plan.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

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
    WorkerLoad& entry = load.workers[id];
    entry.used_millicores = worker.used.millicores;
    for (const TaskName& name : worker.tasks) {
      entry.lasting_tasks += StepOf(shard, name).long_running ? 1 : 0;
    }
  }
  return load;
}

}  // namespace fireflythread
