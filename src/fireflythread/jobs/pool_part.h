#ifndef FIREFLYTHREAD_JOBS_POOL_PART_H_
#define FIREFLYTHREAD_JOBS_POOL_PART_H_

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// One of the parts that a pool is divided into. A part has jobs and workers of
/// its own, and an owner of its own: it is a shard.
struct PoolPart {
  ServiceName pool;
  /// From 0 to `count` - 1.
  int index = 0;
  /// Number of the pool's parts.
  int count = 1;

  auto operator==(const PoolPart&) const -> bool = default;
};

/// Returns the name of a part's shard. The shard of an undivided pool has the
/// name of the pool.
[[nodiscard]] auto ShardOf(const PoolPart& part) -> ShardName;

/// Returns the part of a pool that accepts a job.
[[nodiscard]] auto PartOfJob(const ServiceName& pool,
                             int count,
                             const JobId& job) -> PoolPart;

/// Returns the index of the part that a worker belongs to. It never changes:
/// a worker refuses the lower fencing token of another part's owner.
[[nodiscard]] auto PartOfWorker(const WorkerId& worker, int count) -> int;

/// Returns whether a worker of the pool belongs to the part.
[[nodiscard]] auto HasWorker(const PoolPart& part, const WorkerId& worker)
    -> bool;

/// Returns the number of parts for a pool with this many VMs. Never 0.
[[nodiscard]] auto PartCountFor(int vms) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_POOL_PART_H_
