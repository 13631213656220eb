#ifndef FIREFLYTHREAD_JOBS_WAITING_WORK_H_
#define FIREFLYTHREAD_JOBS_WAITING_WORK_H_

#include <cstdint>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Cores, in thousandths, of the finite tasks that are ready and wait for
/// capacity.
struct WaitingWork {
  /// In jobs that can still meet their deadlines.
  std::int64_t millicores = 0;
  /// In jobs that are late.
  std::int64_t late_millicores = 0;

  auto operator==(const WaitingWork&) const -> bool = default;
};

[[nodiscard]] auto MeasureWaitingWork(ShardState& state,
                                      WallTime wall_now,
                                      TimePoint now) -> WaitingWork;

/// Returns the cores, in thousandths, of the running finite tasks of jobs that
/// are already late.
[[nodiscard]] auto LateMillicores(const ShardState& state, WallTime wall_now)
    -> std::int64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WAITING_WORK_H_
