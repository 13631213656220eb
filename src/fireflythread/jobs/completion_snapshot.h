#ifndef FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_
#define FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <set>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Ends of runs that count as stored once all jobs are stored that were out of
/// date when the snapshot was taken.
struct CompletionSnapshot {
  /// Newest end of each worker that was taken in.
  std::map<WorkerId, std::uint64_t> completions;
  /// Jobs that were not stored since.
  std::set<JobId> unstored;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_
