#ifndef FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_
#define FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/submission_queue.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// The outcome of a caller's request, other than a job's state.
enum class JobRequestOutcome : std::uint8_t {
  /// The job or its cancellation is accepted, now or by an earlier request.
  kStored,
  /// Nothing was stored or will be stored.
  kNotStored,
  /// The result is not known: the request may have been stored. A repeat of the
  /// request finds out.
  kUnknown,
  /// There is no such job.
  kNoJob,
  /// Nothing was stored or will be stored in this shard: the job's queue is
  /// assigned to another one.
  kMoved,
  /// Nothing was stored or will be stored: another organisation has a job with
  /// this id.
  kForeign
};

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

  /// Stores a job unless the row `ended_key` says that its queue has left the
  /// shard; see EndedAssignmentKey(). A job that is already stored in this
  /// shard or in one of `other_shards` is accepted again, but not stored a
  /// second time.
  auto Submit(const ShardName& shard,
              const std::string& ended_key,
              const std::vector<ShardName>& other_shards,
              const JobRequest& job,
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

  /// Stores the cancellation of a job. For a job that has ended, it is accepted
  /// but not stored, as it would have no effect. With a caller's organisation,
  /// a job of another one is not found.
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
  struct Lookup;
  struct WaitingSum;

  auto SendSubmissions(const ShardName& shard) -> void;
  auto ApplySubmissionOutcome(const ShardName& shard,
                              std::vector<Submission> batch,
                              const TransactionOutcome& outcome) -> void;
  auto RetrySubmission(Submission submission) -> void;
  auto AnswerSubmission(const Submission& submission, JobRequestOutcome outcome)
      -> void;
  auto TryRead(const std::shared_ptr<Lookup>& lookup) -> void;
  auto TryReadJob(const std::shared_ptr<Lookup>& lookup) -> void;
  auto TryReadEnded(const std::shared_ptr<Lookup>& lookup) -> void;
  auto TryNextShard(const std::shared_ptr<Lookup>& lookup) -> void;
  auto RetryRead(const std::shared_ptr<Lookup>& lookup) -> void;
  auto ReadNextWaiting(const std::shared_ptr<WaitingSum>& sum) -> void;
  auto StoreCancel(const ShardName& shard,
                   const JobId& job,
                   TimePoint deadline,
                   OutcomeCallback callback) -> void;

  TableStore& store;
  const Logger& logger;
  std::map<ShardName, SubmissionQueue> submissions;
  /// Callbacks of the submissions without an answer, by submission number.
  std::map<std::uint64_t, OutcomeCallback> submitters;
  std::uint64_t last_submission = 0;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_
