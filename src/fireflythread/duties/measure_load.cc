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
    load.workers[id] = {worker.used.millicores, worker.long_running_tasks};
  }
  return load;
}

}  // namespace fireflythread
