#ifndef FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_
#define FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_lookup.h"
#include "fireflythread/entry/job_request_outcome.h"
#include "fireflythread/entry/submission_sender.h"
#include "fireflythread/jobs/cancel_request.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/submission_target.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Handles the callers' requests about jobs by reading and writing the store.
/// Any entry can handle requests for any job. Each callback is called exactly
/// once unless the handler is destroyed before.
class JobRequestHandler {
 public:
  using OutcomeCallback = std::function<void(JobRequestOutcome)>;
  using StateCallback =
      std::function<void(std::variant<JobState, JobRequestOutcome>)>;
  using CountCallback = std::function<void(std::optional<int>)>;

  JobRequestHandler(TableStore& store, const Logger& logger);
  JobRequestHandler(const JobRequestHandler&) = delete;
  auto operator=(const JobRequestHandler&) -> JobRequestHandler& = delete;

  /// Stores a job unless its queue has left the target's shard. A job that is
  /// already stored in this shard or in one of the other shards is accepted
  /// again, but not stored a second time. One that was cancelled ahead is
  /// stored as a cancelled job.
  auto Submit(const SubmissionTarget& target,
              const JobRequest& job,
              TimePoint deadline,
              OutcomeCallback callback) -> void;

  /// Stores a tombstone, so that no submission that is still on its way stores
  /// the job. Answers kJobExists if there is a job.
  auto SubmitTombstone(const SubmissionTarget& target,
                       const CancelRequest& request,
                       TimePoint deadline,
                       OutcomeCallback callback) -> void;

  /// Reads a job's state, searching `shards` in their order. A job that has not
  /// ended takes one or two reads of the store in its shard. With a caller's
  /// organisation, a job of another one is not found.
  auto ReadState(std::vector<ShardName> shards,
                 const JobId& job,
                 const std::optional<OrganisationName>& caller,
                 TimePoint deadline,
                 StateCallback callback) -> void;

  /// Stores the cancellation of a job that is found. For a job that has ended,
  /// it is accepted but not stored, as it would have no effect. With a caller's
  /// organisation, a job of another one is not found.
  auto Cancel(std::vector<ShardName> shards,
              const JobId& job,
              const std::optional<OrganisationName>& caller,
              TimePoint deadline,
              OutcomeCallback callback) -> void;

  /// Reads the number of waiting jobs of a queue in all of these shards. There
  /// is no value if a read fails or the owner of a shard has not published
  /// current counts, nor without any shard.
  auto ReadWaiting(const std::vector<ShardName>& shards,
                   const Queue& queue,
                   CountCallback callback) -> void;

 private:
  struct WaitingSum;

  auto ReadNextWaiting(const std::shared_ptr<WaitingSum>& sum) -> void;
  auto StoreCancel(const ShardName& shard,
                   const JobId& job,
                   TimePoint deadline,
                   OutcomeCallback callback) -> void;

  TableStore& store;
  SubmissionSender sender;
  JobLookup lookup;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_
