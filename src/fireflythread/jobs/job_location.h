#ifndef FIREFLYTHREAD_JOBS_JOB_LOCATION_H_
#define FIREFLYTHREAD_JOBS_JOB_LOCATION_H_

#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/pool_parts.h"

namespace fireflythread {

/// Returns the shards that may hold a job of a queue, the likeliest first:
/// those of the services that the queue is and was assigned to, also of
/// services that are not configured any more, and those of all other services.
/// `assignment` is null while none is known. Returns no value while the parts
/// of a configured pool are not known.
[[nodiscard]] auto ShardsWithJob(const Queue& queue,
                                 const QueueAssignment* assignment,
                                 const Configuration& configuration,
                                 const PoolParts& parts,
                                 const JobId& job)
    -> std::optional<std::vector<ShardName>>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_LOCATION_H_
