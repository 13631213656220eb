#include "fireflythread/duties/pool_need.h"

#include <algorithm>
#include <cstdint>

#include "fireflythread/duties/duty_limits.h"
#include "fireflythread/duties/duty_state.h"
#include "fireflythread/jobs/pool_part.h"

namespace fireflythread {
namespace {

/// What a load needs, without a reserve.
struct LoadNeed {
  /// Workers for the sum of the cores.
  int in_time = 0;
  int with_late_work = 0;
  int long_running_workers = 0;
  /// Workers that are needed whatever the cores add up to.
  int kept = 0;
  int kept_with_late_work = 0;
};

/// Returns the number of workers that serve `millicores` with the headroom of
/// the default capacity profile.
auto WorkersFor(std::int64_t millicores, std::int64_t worker_millicores)
    -> int {
  const std::int64_t usable = worker_millicores * kTargetUsePercent / 100;
  return static_cast<int>((millicores + usable - 1) / usable);
}

auto MeasureLoadNeed(const PoolLoad& load, std::int64_t worker_millicores)
    -> LoadNeed {
  LoadNeed need;
  std::int64_t used = load.waiting_millicores;
  for (const auto& [id, worker] : load.workers) {
    used += worker.used_millicores;
    need.long_running_workers += worker.long_running_tasks > 0 ? 1 : 0;
  }
  const std::int64_t in_time =
      std::max(used - load.late_millicores, load.arriving_millicores);
  const std::int64_t all = used + load.late_waiting_millicores;
  need.in_time = WorkersFor(in_time, worker_millicores);
  need.with_late_work =
      std::max(WorkersFor(all, worker_millicores), need.in_time);
  // Owners of older versions publish no need of workers.
  need.kept = std::max(need.long_running_workers, load.worker_need.kept);
  need.kept_with_late_work =
      std::max(need.kept, load.worker_need.kept_with_late_work);
  return need;
}

auto MeasurePartNeed(const PoolLoad& load, std::int64_t worker_millicores)
    -> PartNeed {
  const LoadNeed need = MeasureLoadNeed(load, worker_millicores);
  PartNeed part;
  part.needed = std::max(need.in_time, need.kept);
  part.needed_with_late_work =
      std::max(need.with_late_work, need.kept_with_late_work);
  part.lacking = load.worker_need.lacking;
  part.lacking_with_late_work = load.worker_need.lacking_with_late_work;
  part.cores_with_late_work = need.with_late_work;
  return part;
}

/// Returns the needs of a pool's parts; none while the pool's number of parts
/// is not known.
auto MeasurePartNeeds(const DutyState& state,
                      const ServiceName& pool,
                      std::int64_t worker_millicores) -> std::vector<PartNeed> {
  std::vector<PartNeed> needs;
  const auto count = state.part_counts.find(pool);
  const int parts = count == state.part_counts.end() ? 0 : count->second;
  for (int index = 0; index < parts; ++index) {
    const auto load = state.shard_loads.find(ShardOf({pool, index, parts}));
    needs.push_back(load == state.shard_loads.end()
                        ? PartNeed{}
                        : MeasurePartNeed(load->second, worker_millicores));
  }
  return needs;
}

}  // namespace

auto MeasureNeed(const DutyState& state,
                 const ServiceName& pool,
                 std::int64_t worker_millicores,
                 PoolNeed& need) -> void {
  const LoadNeed load =
      MeasureLoadNeed(state.loads.at(pool), worker_millicores);
  need.long_running_workers = load.long_running_workers;
  need.needed = std::max(load.in_time + kReserveWorkers, load.kept);
  need.needed_with_late_work =
      std::max({load.with_late_work + kReserveWorkers, load.kept_with_late_work,
                need.needed});
  need.part_needs = MeasurePartNeeds(state, pool, worker_millicores);
}

}  // namespace fireflythread
