#ifndef FIREFLYTHREAD_JOBS_MIN_WORKERS_H_
#define FIREFLYTHREAD_JOBS_MIN_WORKERS_H_

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// The number of workers that a shard needs, of those that are not to leave,
/// whatever its tasks' cores add up to: those with long-running tasks, those
/// for finite tasks that fit on no worker beside them, and as many as
/// long-running tasks must be spread over.
struct MinWorkers {
  /// For long-running tasks and jobs that can still meet their deadlines.
  int in_time = 0;
  /// For the waiting tasks of late jobs too.
  int with_late_work = 0;

  auto operator==(const MinWorkers&) const -> bool = default;
};

[[nodiscard]] auto CountMinWorkers(ShardState& state,
                                   WallTime wall_now,
                                   TimePoint now) -> MinWorkers;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_MIN_WORKERS_H_
