#ifndef FIREFLYTHREAD_JOBS_FILLER_PACES_H_
#define FIREFLYTHREAD_JOBS_FILLER_PACES_H_

#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/pace_command.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// A change of the speed limit of the fillers on a worker.
struct PaceChange {
  WorkerId worker;
  int from_percent = 100;
  int percent = 100;
  /// Highest tail latency, as a multiple of its target.
  double pressure = 0;
};

struct PaceOrders {
  std::vector<PaceChange> changes;
  std::vector<PaceCommand> commands;
};

/// Updates the speed limits and returns the orders that are due, marking each
/// as sent. Only fillers get such orders.
[[nodiscard]] auto NextPaces(ShardState& state, TimePoint now) -> PaceOrders;

/// Applies the answer to such an order.
auto ApplyPaceReply(ShardState& state,
                    const PaceCommand& pace,
                    const OrderReply& reply,
                    TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_FILLER_PACES_H_
