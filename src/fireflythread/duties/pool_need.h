#ifndef FIREFLYTHREAD_DUTIES_POOL_NEED_H_
#define FIREFLYTHREAD_DUTIES_POOL_NEED_H_

#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/fwd.h"

namespace fireflythread {

/// The number of workers that a part of a pool needs for itself.
struct PartNeed {
  int needed = 0;
  int needed_with_late_work = 0;
  /// Workers for the sum of the cores alone, late work included.
  int cores_with_late_work = 0;
  /// Workers that the part's owner lacks whatever the cores add up to.
  int lacking = 0;
  int lacking_with_late_work = 0;
};

/// The number of workers that a pool needs for its current load.
struct PoolNeed {
  /// Workers for the jobs that can still meet their deadline.
  int needed = 0;
  /// Workers with long-running tasks.
  int long_running_workers = 0;
  /// Workers for all jobs, including late ones. Late jobs may use workers that
  /// no other pool needs.
  int needed_with_late_work = 0;
  /// The needs of the pool's parts, by the part's index, without the reserve of
  /// the whole pool.
  std::vector<PartNeed> part_needs;
  /// When the pool's need fell below its number of VMs; valid while `low`.
  TimePoint low_since;
  bool low = false;
};

/// Computes how many workers a pool and its parts need for their running and
/// waiting tasks. The load of the pool must be known. `worker_millicores` is
/// the capacity of one worker.
auto MeasureNeed(const DutyState& state,
                 const ServiceName& pool,
                 std::int64_t worker_millicores,
                 PoolNeed& need) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_POOL_NEED_H_
