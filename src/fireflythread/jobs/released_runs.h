#ifndef FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_
#define FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_

#include <cstddef>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// Why all runs of a worker are known not to exist any more.
enum class ReleaseReason {
  /// Every lease of the unresponsive worker has certainly expired.
  kLeaseExpired,
  /// Another instance answers at the worker's address.
  kOtherInstance,
};

/// Returns the reason as it is named in logs.
[[nodiscard]] auto ReleaseReasonName(ReleaseReason reason) -> std::string_view;

/// All runs of a lost worker, which were released together.
struct ReleasedRuns {
  WorkerId worker;
  std::size_t runs = 0;
  ReleaseReason reason = ReleaseReason::kLeaseExpired;
  /// Time since the worker's last report to this owner, or since the shard was
  /// acquired.
  Duration unresponsive{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_RELEASED_RUNS_H_
