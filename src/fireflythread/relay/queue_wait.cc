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
  if (auto* hold = std::get_if<PollCommand>(&order.command)) {
    // Rounded up, so that the worker never waits longer than the call may.
    hold->wait = std::max(milliseconds(0),
                          hold->wait - std::chrono::ceil<milliseconds>(waited));
  }
  return order;
}

}  // namespace fireflythread
