#ifndef FIREFLYTHREAD_JOBS_SHARD_ORDERS_H_
#define FIREFLYTHREAD_JOBS_SHARD_ORDERS_H_

#include <vector>

#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"

namespace fireflythread {

/// Applies the answer to a start.
auto ApplyStartReply(ShardState& state,
                     const StartCommand& start,
                     const OrderReply& reply,
                     TimePoint now) -> void;

/// Applies that a stored start was not sent and never will be. The task waits
/// for another run.
auto ApplyWithheldStart(ShardState& state,
                        const StartCommand& start,
                        TimePoint now) -> void;

/// Returns the stops that are due and marks each as sent.
[[nodiscard]] auto NextStops(ShardState& state, TimePoint now)
    -> std::vector<StopCommand>;

/// Applies the answer to a stop.
auto ApplyStopReply(ShardState& state,
                    const StopCommand& stop,
                    const OrderReply& reply,
                    TimePoint now) -> void;

/// Returns the fencing token of an order that is made now.
[[nodiscard]] auto OrderFence(const ShardState& state) -> std::uint64_t;

/// Returns whether the rejection of a fencing token proves that a newer owner
/// exists. Otherwise the worker has got a later order of this owner.
[[nodiscard]] auto IsFencedOff(const ShardState& state, std::uint64_t rejected)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_ORDERS_H_
