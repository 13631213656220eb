#ifndef FIREFLYTHREAD_JOBS_WORKER_NEED_H_
#define FIREFLYTHREAD_JOBS_WORKER_NEED_H_

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Numbers of workers that a shard needs whatever its tasks' cores add up to: a
/// task runs on one worker, beside the long-running tasks there, and long-
/// running tasks of a step may have to be spread.
struct WorkerNeed {
  /// Workers that must not be taken away: those with long-running tasks, and
  /// the others that tasks need which don't fit beside those.
  int kept = 0;
  int kept_with_late_work = 0;
  /// Workers that are lacking: no end of a finite task makes room for some
  /// waiting tasks. For long-running tasks and for jobs that can still meet
  /// their deadlines, and for late jobs too.
  int lacking = 0;
  int lacking_with_late_work = 0;

  auto operator==(const WorkerNeed&) const -> bool = default;
};

[[nodiscard]] auto MeasureWorkerNeed(ShardState& state,
                                     WallTime wall_now,
                                     TimePoint now) -> WorkerNeed;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_NEED_H_
