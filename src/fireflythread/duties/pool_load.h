#ifndef FIREFLYTHREAD_DUTIES_POOL_LOAD_H_
#define FIREFLYTHREAD_DUTIES_POOL_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// What a worker has to do.
struct WorkerLoad {
  std::int64_t used_millicores = 0;
  /// Tasks that are to run all the time.
  int long_running_tasks = 0;

  auto operator==(const WorkerLoad&) const -> bool = default;
};

/// A pool's load, as the owner of its shard publishes it.
struct PoolLoad {
  /// Fencing token of the owner that measured it.
  std::uint64_t fence = 0;
  /// Cores of the tasks that could start now if there were room.
  std::int64_t waiting_millicores = 0;
  /// Cores of the finite tasks that run in jobs that are late already; part of
  /// what the workers use.
  std::int64_t late_millicores = 0;
  /// Cores that keep up with the jobs that were accepted lately. What waits
  /// leaves out jobs that are late already, so it hides how high a peak is.
  std::int64_t arriving_millicores = 0;
  std::map<WorkerId, WorkerLoad> workers;

  auto operator==(const PoolLoad&) const -> bool = default;
};

[[nodiscard]] auto EncodePoolLoad(const PoolLoad& load) -> std::string;
[[nodiscard]] auto DecodePoolLoad(std::string_view text)
    -> std::optional<PoolLoad>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_POOL_LOAD_H_
