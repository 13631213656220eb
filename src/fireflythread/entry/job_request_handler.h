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

/// What became of a caller's request. Each caller gets exactly one of these.
enum class JobRequestOutcome : std::uint8_t {
  /// Stored: the job was accepted, or its cancellation.
  kStored,
  /// Nothing was stored, now or later.
  kNotStored,
  /// It may have been stored; a repeat of the request finds out.
  kUnknown,
  /// No such job.
  kNoJob
};

/// Answers the callers' requests about jobs from the store. Any entry can
/// answer for any job.
class JobRequestHandler {
 public:
  using OutcomeCallback = std::function<void(JobRequestOutcome)>;
  using StateCallback =
      std::function<void(std::variant<JobState, JobRequestOutcome>)>;
  using CountCallback = std::function<void(std::optional<int>)>;

  JobRequestHandler(TableStore& store, const Logger& logger);
  JobRequestHandler(const JobRequestHandler&) = delete;
  auto operator=(const JobRequestHandler&) -> JobRequestHandler& = delete;

  /// Stores an accepted job. A job that is stored already, in this shard or in
  /// one of `other_shards`, is accepted again and not stored a second time.
  auto Submit(const ServiceName& shard,
              const std::vector<ServiceName>& other_shards,
              const JobRequest& job,
              TimePoint deadline,
              OutcomeCallback callback) -> void;

  /// Reads a job's state. `shards` are searched in turn. An open job takes one
  /// or two reads of the store.
  auto ReadState(std::vector<ServiceName> shards,
                 const JobId& job,
                 TimePoint deadline,
                 StateCallback callback) -> void;

  /// Stores a cancellation. One of a job that has ended is accepted and not
  /// stored, as it has no effect.
  auto Cancel(std::vector<ServiceName> shards,
              const JobId& job,
              TimePoint deadline,
              OutcomeCallback callback) -> void;

  /// Reads how many jobs of a queue wait. No value when the store gives none or
  /// the shard's owner has not published current counts.
  auto ReadWaiting(const ServiceName& shard,
                   const QueueName& queue,
                   CountCallback callback) -> void;

 private:
  struct Lookup;

  auto SendSubmissions(const ServiceName& shard) -> void;
  auto ApplySubmissionOutcome(const ServiceName& shard,
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
  auto StoreCancel(const ServiceName& shard,
                   const JobId& job,
                   TimePoint deadline,
                   OutcomeCallback callback) -> void;

  TableStore& store;
  const Logger& logger;
  std::map<ServiceName, SubmissionQueue> submissions;
  /// Callers of the submissions that have no answer yet, by their numbers.
  std::map<std::uint64_t, OutcomeCallback> submitters;
  std::uint64_t last_submission = 0;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_JOB_REQUEST_HANDLER_H_
