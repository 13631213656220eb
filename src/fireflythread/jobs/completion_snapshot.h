#ifndef FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_
#define FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <set>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A set of completions that count as stored once every job that was dirty when
/// the snapshot was made has been stored.
struct CompletionSnapshot {
  /// Highest applied completion number of each worker.
  std::map<WorkerId, std::uint64_t> completions;
  /// Jobs of the snapshot that are not stored yet.
  std::set<JobId> unstored;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_COMPLETION_SNAPSHOT_H_
