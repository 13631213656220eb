#ifndef FIREFLYTHREAD_JOBS_POOL_PARTS_H_
#define FIREFLYTHREAD_JOBS_POOL_PARTS_H_

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/pool_part.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table with one row for each pool: the number of its parts. The first entry
/// that needs the row writes it, and it never changes afterwards, so all
/// entries agree on the shard of each job and of each worker.
inline constexpr std::string_view kPoolPartsTable = "pool_parts";

/// The number of parts of each pool whose row was read.
struct PoolParts {
  std::map<ServiceName, int> counts;
};

/// Applies rows of the table. Unreadable rows are ignored.
auto ApplyPoolParts(PoolParts& parts, const std::vector<Row>& rows) -> void;

/// Returns the pools of a configuration whose number of parts is not known. The
/// spare pool runs no jobs and has no parts.
[[nodiscard]] auto PoolsWithoutParts(const PoolParts& parts,
                                     const Configuration& configuration)
    -> std::vector<ServiceName>;

/// Makes the transaction that sets the number of parts of pools, on condition
/// that nobody has set one of them. `sizes` are the pools' numbers of VMs. A
/// pool of `undivided`, which an older version already runs as one shard, stays
/// one shard.
[[nodiscard]] auto MakePoolParts(const std::vector<ServiceName>& pools,
                                 const std::map<ServiceName, int>& sizes,
                                 const std::set<ServiceName>& undivided)
    -> Transaction;

/// Returns the part of a pool that accepts a job. Returns nullopt while the
/// number of the pool's parts is not known.
[[nodiscard]] auto FindPartOfJob(const PoolParts& parts,
                                 const ServiceName& pool,
                                 const JobId& job) -> std::optional<PoolPart>;

/// Returns all parts of a pool; none while their number is not known.
[[nodiscard]] auto PartsOf(const PoolParts& parts, const ServiceName& pool)
    -> std::vector<PoolPart>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_POOL_PARTS_H_
