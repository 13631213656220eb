#ifndef FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_
#define FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_

#include <chrono>
#include <optional>

#include "fireflythread/base/time.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// An order that has waited this long in a helper's queue goes back to its
/// owner. An entry with an eighth of a core makes about 150 calls a second, so
/// some 30 orders are ahead of it then; a longer wait would take too much of
/// the time that the worker has to answer.
inline constexpr std::chrono::milliseconds kMaxQueueWait{200};

/// The order as it is to be performed after a wait in the helper's queue: the
/// time for the call, and the time that the worker may wait before it answers,
/// are shorter by it. No value for an order that has waited too long or whose
/// time has passed, which must not be performed.
[[nodiscard]] auto DeductQueueWait(WorkerOrder order, Duration waited)
    -> std::optional<WorkerOrder>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_QUEUE_WAIT_H_
