#include "fireflythread/jobs/pool_part.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "fireflythread/base/stable_hash.h"

namespace fireflythread {
namespace {

/// Number of VMs that a part of a pool has on average. More are too many orders
/// for one owner. Fewer could not hold a step of long-running tasks whose
/// anti-affinity spreads them over some forty workers.
constexpr int kVmsPerPart = 64;

/// Upper limit of a pool's parts. Each part has a table of its jobs, and the
/// store has 100 tables at most.
constexpr int kMaxParts = 16;

auto IndexOf(std::string_view id, int count) -> int {
  return static_cast<int>(StableHash(id) % static_cast<std::uint64_t>(count));
}

}  // namespace

auto ShardOf(const PoolPart& part) -> ShardName {
  if (part.count == 1) {
    return ShardName(part.pool.value);
  }
  return ShardName(part.pool.value + "." + std::to_string(part.count) + "." +
                   std::to_string(part.index));
}

auto PartOfJob(const ServiceName& pool, int count, const JobId& job)
    -> PoolPart {
  return {pool, IndexOf(job.value, count), count};
}

auto PartOfWorker(const WorkerId& worker, int count) -> int {
  return IndexOf(worker.value, count);
}

auto HasWorker(const PoolPart& part, const WorkerId& worker) -> bool {
  return PartOfWorker(worker, part.count) == part.index;
}

auto PartCountFor(int vms) -> int {
  return std::clamp((vms + kVmsPerPart / 2) / kVmsPerPart, 1, kMaxParts);
}

}  // namespace fireflythread
