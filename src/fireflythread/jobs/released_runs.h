#ifndef FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_
#define FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_

#include <cstddef>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/given_up_run.h"

namespace fireflythread {

/// All runs of a lost worker, which were released together.
struct ReleasedRuns {
  WorkerId worker;
  std::size_t runs = 0;
  /// kLeaseExpired or kOtherInstance.
  GiveUpReason reason = GiveUpReason::kLeaseExpired;
  /// Time since the worker's last report to this owner, or since the shard was
  /// acquired.
  Duration unresponsive{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_
