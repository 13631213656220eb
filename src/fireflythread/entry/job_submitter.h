#ifndef FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_
#define FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_request_handler.h"
#include "fireflythread/entry/queue_assignments_task.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/pool_parts.h"

namespace fireflythread {

/// Submits jobs to the shards that their queues are assigned to. A submission
/// that finds its queue moved follows it.
class JobSubmitter {
 public:
  /// Called with the shard that was tried last; empty if none was.
  using Callback = std::function<void(JobRequestOutcome, const ShardName&)>;

  /// `parts` must outlive the submitter.
  JobSubmitter(JobRequestHandler& handler,
               QueueAssignmentsTask& assignments,
               const PoolParts& parts);
  JobSubmitter(const JobSubmitter&) = delete;
  auto operator=(const JobSubmitter&) -> JobSubmitter& = delete;

  /// Stores a job unless it is stored already. Never answers kMoved.
  auto Submit(const JobRequest& job, TimePoint deadline, Callback callback)
      -> void;

 private:
  struct Pending;
  struct Target;

  auto Try(const std::shared_ptr<Pending>& pending) -> void;
  auto Postpone(const std::shared_ptr<Pending>& pending) -> void;
  /// Returns no value while the queue's assignment or the parts of a pool are
  /// not known.
  [[nodiscard]] auto FindTarget(const Pending& pending) const
      -> std::optional<Target>;

  JobRequestHandler& handler;
  QueueAssignmentsTask& assignments;
  const PoolParts& parts;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_
