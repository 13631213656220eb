#ifndef FIREFLYTHREAD_DUTIES_POOL_LOAD_H_
#define FIREFLYTHREAD_DUTIES_POOL_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/worker_need.h"

namespace fireflythread {

/// The load of a worker.
struct WorkerLoad {
  std::int64_t used_millicores = 0;
  /// Number of long-running tasks assigned to the worker.
  int long_running_tasks = 0;

  auto operator==(const WorkerLoad&) const -> bool = default;
};

/// The load of a pool, or of a part of one, as the owner of its shard publishes
/// it.
struct PoolLoad {
  ServiceName pool;
  /// Fencing token of the owner that measured the load.
  std::uint64_t fence = 0;
  /// Demand of the finite tasks that could start now if there were free
  /// capacity, in jobs that can still meet their deadlines and in late ones.
  std::int64_t waiting_millicores = 0;
  std::int64_t late_waiting_millicores = 0;
  /// Usage of the finite tasks that run in jobs that are already late. It is
  /// included in the usage of the workers.
  std::int64_t late_millicores = 0;
  /// Capacity that the recent rate of accepted jobs needs. `waiting_millicores`
  /// leaves out jobs that are already late, so it understates a load peak.
  std::int64_t arriving_millicores = 0;
  WorkerNeed worker_need;
  std::map<WorkerId, WorkerLoad> workers;

  auto operator==(const PoolLoad&) const -> bool = default;
};

[[nodiscard]] auto EncodePoolLoad(const PoolLoad& load) -> std::string;
[[nodiscard]] auto DecodePoolLoad(std::string_view text)
    -> std::optional<PoolLoad>;

/// Returns the load of a whole pool: the sum of its parts' loads.
[[nodiscard]] auto SumLoads(const std::map<ShardName, PoolLoad>& shards,
                            const ServiceName& pool) -> PoolLoad;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_POOL_LOAD_H_
