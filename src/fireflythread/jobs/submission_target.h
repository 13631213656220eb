#ifndef FIREFLYTHREAD_JOBS_SUBMISSION_TARGET_H_
#define FIREFLYTHREAD_JOBS_SUBMISSION_TARGET_H_

#include <string>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Where a job is stored.
struct SubmissionTarget {
  ShardName shard;
  /// Key of the row whose absence in the shard's part says that the queue is
  /// still assigned there; see EndedAssignmentKey().
  std::string ended_key;
  /// Other shards that may have accepted the same job before.
  std::vector<ShardName> other_shards;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SUBMISSION_TARGET_H_
