#ifndef FIREFLYTHREAD_JOBS_WORKER_LEASE_H_
#define FIREFLYTHREAD_JOBS_WORKER_LEASE_H_

#include <chrono>
#include <map>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Returns the estimated current time of the worker's clock, from its last
/// reading. There must be a reading.
[[nodiscard]] auto EstimateClock(const ShardWorker& worker, TimePoint now)
    -> std::chrono::milliseconds;

/// Returns whether a reading of a worker's clock, taken at `taken_after` or
/// later, is of a later incarnation than the last reading: its clock has
/// started again. Returns false when there was no reading.
[[nodiscard]] auto HasClockRestarted(const ShardLimits& limits,
                                     const ShardWorker& worker,
                                     std::chrono::milliseconds clock,
                                     TimePoint taken_after) -> bool;

/// Stores a reading of the worker's clock.
auto ApplyClockReading(ShardWorker& worker,
                       std::chrono::milliseconds clock,
                       TimePoint received_at) -> void;

/// Returns the lease deadline for orders sent now and records the latest one
/// given.
[[nodiscard]] auto NextDeadline(const ShardLimits& limits,
                                ShardWorker& worker,
                                TimePoint now) -> std::chrono::milliseconds;

/// Returns whether every lease that this or a former owner gave to an
/// unresponsive worker has certainly expired.
[[nodiscard]] auto HasLeaseExpired(const ShardState& state,
                                   const ShardWorker& worker,
                                   TimePoint now) -> bool;

/// Returns whether the lease of one run of an unresponsive worker has certainly
/// expired. A run whose start was not answered may be one of an incarnation
/// that this owner does not know, whose lease lasts longer.
[[nodiscard]] auto HasRunExpired(const ShardState& state,
                                 const ShardWorker& worker,
                                 const TaskState& task,
                                 TimePoint now) -> bool;

/// Returns whether the worker may hold a lease that is longer than those that
/// owners give: its incarnation was noticed lately, by this or a former owner.
[[nodiscard]] auto MayHoldLongLease(const ShardState& state,
                                    const ShardWorker& worker,
                                    TimePoint now) -> bool;

/// Returns the time until every lease of an unresponsive worker has certainly
/// expired, rounded up; 0 when they have.
[[nodiscard]] auto TimeUntilLeaseExpiry(const ShardState& state,
                                        const ShardWorker& worker,
                                        TimePoint now)
    -> std::chrono::milliseconds;

/// Applies that the former owner, which did not release the shard, is now known
/// to give no more leases. `unresponsive_workers` are those that it names, with
/// the time until their leases have certainly expired.
auto ApplyFormerOwnerEnd(
    ShardState& state,
    const std::map<WorkerId, std::chrono::milliseconds>& unresponsive_workers,
    TimePoint now) -> void;

/// Returns the workers with runs that are unresponsive or may hold a long
/// lease, and those whose runs were released lately, with the time until their
/// leases have certainly expired, which the next owner of the shard needs to
/// know.
[[nodiscard]] auto UnresponsiveWorkers(const ShardState& state, TimePoint now)
    -> std::map<WorkerId, std::chrono::milliseconds>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_LEASE_H_
