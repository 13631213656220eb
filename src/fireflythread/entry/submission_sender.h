#ifndef FIREFLYTHREAD_ENTRY_SUBMISSION_SENDER_H_
#define FIREFLYTHREAD_ENTRY_SUBMISSION_SENDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/job_request_outcome.h"
#include "fireflythread/jobs/submission_queue.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Stores submissions. Those that arrive while a transaction of their shard is
/// in flight share the next one. Each callback is called exactly once unless
/// the sender is destroyed before.
class SubmissionSender {
 public:
  using Callback = std::function<void(JobRequestOutcome)>;

  SubmissionSender(TableStore& store, const Logger& logger);
  SubmissionSender(const SubmissionSender&) = delete;
  auto operator=(const SubmissionSender&) -> SubmissionSender& = delete;

  /// Stores a submission before its deadline or not at all, unless the store
  /// leaves the outcome unknown.
  auto Send(Submission submission, Callback callback) -> void;

 private:
  auto SendBatch(const ShardName& shard) -> void;
  auto ApplyOutcome(const ShardName& shard,
                    std::vector<Submission> batch,
                    const TransactionOutcome& outcome) -> void;
  /// Answers the submissions that a conflict decides. The others are retried.
  auto ApplyConflict(const ShardName& shard,
                     std::vector<Submission> batch,
                     const Conflict& conflict) -> void;
  auto Retry(Submission submission) -> void;
  auto Answer(const Submission& submission, JobRequestOutcome outcome) -> void;
  auto AnswerStored(const Submission& submission) -> void;

  TableStore& store;
  const Logger& logger;
  std::map<ShardName, SubmissionQueue> queues;
  /// Callbacks of the submissions without an answer, by submission number.
  std::map<std::uint64_t, Callback> callbacks;
  std::uint64_t last_number = 0;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SUBMISSION_SENDER_H_
