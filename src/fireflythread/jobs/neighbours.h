#ifndef FIREFLYTHREAD_JOBS_NEIGHBOURS_H_
#define FIREFLYTHREAD_JOBS_NEIGHBOURS_H_

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Learns from the figures of a worker's last report which images interfere.
/// Has no effect on a worker without serving tasks. `sent_at` is the time at
/// which the poll was sent.
auto ObserveNeighbours(ShardState& state,
                       const ShardWorker& worker,
                       TimePoint sent_at,
                       TimePoint now) -> void;

/// Returns how much a task of `step` and the tasks of a worker are known to
/// interfere, in tenths of a logarithm of tail latency; 0 for no evidence.
[[nodiscard]] auto InterferenceOn(const ShardState& state,
                                  const ShardWorker& worker,
                                  const JobStep& step,
                                  TimePoint now) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_NEIGHBOURS_H_
