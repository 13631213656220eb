#include "fireflythread/duties/measure_load.h"

#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/waiting_work.h"
#include "fireflythread/jobs/worker_need.h"

namespace fireflythread {

auto MeasureLoad(ShardState& shard, WallTime wall_now, TimePoint now)
    -> PoolLoad {
  PoolLoad load;
  load.fence = shard.fence;
  const WaitingWork waiting = MeasureWaitingWork(shard, wall_now, now);
  load.waiting_millicores = waiting.millicores;
  load.late_waiting_millicores = waiting.late_millicores;
  load.late_millicores = LateMillicores(shard, wall_now);
  load.arriving_millicores = ArrivingMillicores(shard, now);
  load.worker_need = MeasureWorkerNeed(shard, wall_now, now);
  for (const auto& [id, worker] : shard.workers) {
    if (!worker.listed) {
      continue;
    }
    load.workers[id] = {worker.used.millicores, worker.long_running_tasks};
  }
  return load;
}

}  // namespace fireflythread
