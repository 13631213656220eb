#ifndef FIREFLYTHREAD_ENTRY_JOB_CANCELLER_H_
#define FIREFLYTHREAD_ENTRY_JOB_CANCELLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_request_outcome.h"
#include "fireflythread/entry/job_submitter.h"
#include "fireflythread/jobs/cancel_request.h"
#include "fireflythread/jobs/tombstone_budget.h"

namespace fireflythread {

class JobRequestHandler;

/// Cancels jobs. A job that is not found may be on its way to the store: in the
/// socket of an entry that stands still, or in a transaction that the store
/// carries out late. A tombstone keeps it from being stored before the caller
/// is told that there is no such job.
class JobCanceller {
 public:
  using Callback = std::function<void(JobRequestOutcome)>;

  /// Returns the shards that may hold the job; no value while they are not
  /// known.
  using FindShards = std::function<std::optional<std::vector<ShardName>>()>;

  JobCanceller(JobRequestHandler& handler, JobSubmitter& submitter);
  JobCanceller(const JobCanceller&) = delete;
  auto operator=(const JobCanceller&) -> JobCanceller& = delete;

  /// Cancels a job. Answers kStored, or kNoJob if there is no such job and none
  /// will be accepted from a submission that was sent before; kNotStored if
  /// that could not be made sure of.
  auto Cancel(const CancelRequest& request,
              FindShards find_shards,
              TimePoint deadline,
              Callback callback) -> void;

 private:
  struct Pending;

  auto Try(const std::shared_ptr<Pending>& pending) -> void;
  auto StoreTombstone(const std::shared_ptr<Pending>& pending) -> void;
  auto ApplyOutcome(const std::shared_ptr<Pending>& pending,
                    JobRequestOutcome outcome) -> void;

  JobRequestHandler& handler;
  JobSubmitter& submitter;
  TombstoneBudget budget;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_CANCELLER_H_
