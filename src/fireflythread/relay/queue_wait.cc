#include "fireflythread/relay/queue_wait.h"

#include <algorithm>
#include <variant>

namespace fireflythread {

auto DeductQueueWait(WorkerOrder order, Duration waited)
    -> std::optional<WorkerOrder> {
  using std::chrono::milliseconds;
  if (waited >= order.timeout || waited >= kMaxQueueWait) {
    return std::nullopt;
  }
  order.timeout -= waited;
  if (auto* poll = std::get_if<PollCommand>(&order.command)) {
    // The deducted wait is rounded up, so that the worker never delays its
    // answer beyond the timeout of the call.
    poll->wait = std::max(milliseconds(0),
                          poll->wait - std::chrono::ceil<milliseconds>(waited));
  }
  return order;
}

}  // namespace fireflythread
