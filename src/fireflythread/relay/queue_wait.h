#ifndef FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_
#define FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_

#include <chrono>
#include <optional>

#include "fireflythread/base/time.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// An order that has waited this long in a relay peer's queue is returned to
/// its owner. An entry with an eighth of a core makes about 150 calls per
/// second, so about 30 orders were ahead of it. A longer wait would use up too
/// much of the time that the worker has for its answer.
inline constexpr std::chrono::milliseconds kMaxQueueWait{200};

/// Returns the order to perform after it has waited in the relay peer's queue:
/// the timeout of the call, and the time for which a worker may delay its
/// answer to a poll, are reduced by the wait. Returns no value if the order has
/// waited for too long or has timed out; it must not be performed then.
[[nodiscard]] auto DeductQueueWait(WorkerOrder order, Duration waited)
    -> std::optional<WorkerOrder>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_
