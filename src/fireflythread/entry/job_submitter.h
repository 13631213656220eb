#ifndef FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_
#define FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/admission_task.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_request_handler.h"
#include "fireflythread/entry/queue_assignments_task.h"
#include "fireflythread/jobs/cancel_request.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/pool_parts.h"

namespace fireflythread {

/// Submits jobs to the shards that their queues are assigned to. A submission
/// that finds its queue moved follows it.
class JobSubmitter {
 public:
  /// Called with the shard that was tried last; empty if none was.
  using Callback = std::function<void(JobRequestOutcome, const ShardName&)>;

  /// Called with a refusal instead of the other callback: nothing was stored or
  /// will be stored.
  using RefusalCallback = std::function<void(const AdmissionRefusal&)>;

  /// `parts` must outlive the submitter, and so must `admission`, without which
  /// nothing is refused.
  JobSubmitter(JobRequestHandler& handler,
               QueueAssignmentsTask& assignments,
               const PoolParts& parts,
               AdmissionTask* admission = nullptr);
  JobSubmitter(const JobSubmitter&) = delete;
  auto operator=(const JobSubmitter&) -> JobSubmitter& = delete;

  /// Stores a job unless it is stored already. Answers neither kMoved nor
  /// kJobExists. A job that
  /// would be of no use any more is refused if there is a callback for it,
  /// unless the job is or may be stored already.
  auto Submit(const JobRequest& job,
              TimePoint deadline,
              Callback callback,
              RefusalCallback on_refused = nullptr) -> void;

  /// Stores a tombstone for a job where the job would be stored. Never answers
  /// kMoved.
  auto SubmitTombstone(const CancelRequest& request,
                       TimePoint deadline,
                       Callback callback) -> void;

 private:
  struct Pending;
  struct Target;

  auto Try(const std::shared_ptr<Pending>& pending) -> void;
  auto Store(const std::shared_ptr<Pending>& pending, const Target& target)
      -> void;
  /// Returns the refusal of a job that would be of no use any more; no value
  /// for a tombstone and for a job that must not be refused.
  [[nodiscard]] auto Decide(const Pending& pending, const ShardName& shard)
      -> std::optional<AdmissionRefusal>;
  /// Refuses a submission, or stores it if the job may be stored already.
  auto RefuseUnlessStored(const std::shared_ptr<Pending>& pending,
                          const Target& target,
                          const AdmissionRefusal& refusal) -> void;
  auto Postpone(const std::shared_ptr<Pending>& pending) -> void;
  /// Returns no value while the queue's assignment or the parts of a pool are
  /// not known.
  [[nodiscard]] auto FindTarget(const Pending& pending) const
      -> std::optional<Target>;

  JobRequestHandler& handler;
  QueueAssignmentsTask& assignments;
  const PoolParts& parts;
  AdmissionTask* admission;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_SUBMITTER_H_
