#include "fireflythread/jobs/worker_lease.h"

#include <algorithm>

#include "fireflythread/base/assert.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// The least that the worker's clock shows now: it may be slow.
auto LeastClock(const ShardLimits& limits,
                const ShardWorker& worker,
                TimePoint now) -> milliseconds {
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - worker.clock->received_at);
  return worker.clock->clock +
         elapsed * (100 - limits.slow_clock_percent) / 100;
}

}  // namespace

auto EstimateClock(const ShardWorker& worker, TimePoint now) -> milliseconds {
  FIREFLYTHREAD_ASSERT(worker.clock.has_value(),
                       "the worker must have shown its clock");
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - worker.clock->received_at);
  return worker.clock->clock + elapsed;
}

auto TakeClock(ShardWorker& worker, milliseconds clock, TimePoint received_at)
    -> void {
  worker.clock = WorkerClock{clock, received_at};
}

auto NextDeadline(const ShardLimits& limits, ShardWorker& worker, TimePoint now)
    -> milliseconds {
  const milliseconds deadline = EstimateClock(worker, now) + limits.run_lease;
  worker.latest_deadline = std::max(worker.latest_deadline, deadline);
  return deadline;
}

auto IsLeaseOver(const ShardState& state,
                 const ShardWorker& worker,
                 TimePoint now) -> bool {
  const ShardLimits& limits = state.limits;
  if (!worker.clock) {
    // Only a former owner can have given leases. It stopped extending them at
    // the latest this long after it lost the shard.
    const auto longest =
        limits.run_lease * (100 + limits.slow_clock_percent) / 100 +
        limits.extend_without_store + limits.stop_time;
    return now - state.owned_since > longest;
  }
  return LeastClock(limits, worker, now) >
         worker.latest_deadline + limits.stop_time;
}

}  // namespace fireflythread
