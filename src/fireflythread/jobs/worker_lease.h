#ifndef FIREFLYTHREAD_JOBS_WORKER_LEASE_H_
#define FIREFLYTHREAD_JOBS_WORKER_LEASE_H_

#include <chrono>
#include <map>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// The worker's clock now, as estimated from its last reading. The worker must
/// have given one.
[[nodiscard]] auto EstimateClock(const ShardWorker& worker, TimePoint now)
    -> std::chrono::milliseconds;

/// Takes a reading of the worker's clock.
auto ApplyClockReading(ShardWorker& worker,
                       std::chrono::milliseconds clock,
                       TimePoint received_at) -> void;

/// A lease deadline for orders sent now; remembers the latest one given out.
[[nodiscard]] auto NextDeadline(const ShardLimits& limits,
                                ShardWorker& worker,
                                TimePoint now) -> std::chrono::milliseconds;

/// Whether every lease that this or a former owner gave has certainly run out
/// on a worker that does not answer.
[[nodiscard]] auto HasLeaseExpired(const ShardState& state,
                                   const ShardWorker& worker,
                                   TimePoint now) -> bool;

/// Workers with runs that do not answer, with the time until their leases are
/// certainly over: what the next owner of the shard has to know.
[[nodiscard]] auto UnresponsiveWorkers(const ShardState& state, TimePoint now)
    -> std::map<WorkerId, std::chrono::milliseconds>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_LEASE_H_
