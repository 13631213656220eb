#include "fireflythread/entry/submission_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/call_deadline.h"
#include "fireflythread/entry/run_later.h"

namespace fireflythread {

SubmissionSender::SubmissionSender(TableStore& table_store, const Logger& log)
    : store(table_store), logger(log) {}

auto SubmissionSender::Send(Submission submission, Callback callback) -> void {
  const ShardName shard = submission.shard;
  submission.number = ++this->last_number;
  this->callbacks.emplace(submission.number, std::move(callback));
  this->queues[shard].waiting.push_back(std::move(submission));
  this->SendBatch(shard);
}

auto SubmissionSender::SendBatch(const ShardName& shard) -> void {
  SubmissionQueue& queue = this->queues[shard];
  for (const Submission& expired : TakeExpired(queue, ReadBootClock())) {
    this->Answer(expired, expired.uncertain ? JobRequestOutcome::kUnknown
                                            : JobRequestOutcome::kNotStored);
  }
  std::vector<Submission> batch = TakeSubmissions(queue);
  if (batch.empty()) {
    return;
  }
  TimePoint deadline = TimePoint::max();
  for (const Submission& submission : batch) {
    deadline = std::min(deadline, submission.deadline);
  }
  Transaction transaction =
      MakeSubmissionTransaction(batch, std::chrono::system_clock::now());
  this->store.Commit(std::move(transaction), CallTimeout(deadline),
                     this->alive.Guard([this, shard, sent = std::move(batch)](
                                           const TransactionOutcome& outcome) {
                       this->ApplyOutcome(shard, sent, outcome);
                     }));
}

auto SubmissionSender::ApplyOutcome(const ShardName& shard,
                                    std::vector<Submission> batch,
                                    const TransactionOutcome& outcome) -> void {
  this->queues[shard].committing = false;
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    this->ApplyConflict(shard, std::move(batch), *conflict);
    this->SendBatch(shard);
    return;
  }
  const bool stored = std::holds_alternative<Committed>(outcome);
  const bool unknown = std::holds_alternative<CommitUnknown>(outcome);
  for (Submission& submission : batch) {
    submission.uncertain = submission.uncertain || unknown;
    if (stored) {
      this->AnswerStored(submission);
    } else if (!submission.uncertain) {
      this->Answer(submission, JobRequestOutcome::kNotStored);
    } else {
      this->Retry(std::move(submission));
    }
  }
  this->SendBatch(shard);
}

auto SubmissionSender::ApplyConflict(const ShardName& shard,
                                     std::vector<Submission> batch,
                                     const Conflict& conflict) -> void {
  ConflictSplit split = SplitConflict(std::move(batch), conflict);
  PutBack(this->queues[shard], std::move(split.again));
  for (const Submission& submission : split.stored) {
    // The job's row was stored by an earlier attempt or an earlier request.
    this->Answer(submission, submission.kind == SubmissionKind::kJob
                                 ? JobRequestOutcome::kStored
                                 : JobRequestOutcome::kJobExists);
  }
  for (const Submission& submission : split.moved) {
    this->Answer(submission, JobRequestOutcome::kMoved);
  }
  for (const Submission& submission : split.foreign) {
    this->Answer(submission, JobRequestOutcome::kForeign);
  }
  for (const Submission& submission : split.refused) {
    this->Answer(submission, JobRequestOutcome::kNotStored);
  }
  for (Submission& submission : split.unclear) {
    submission.uncertain = true;
    this->Retry(std::move(submission));
  }
}

auto SubmissionSender::Retry(Submission submission) -> void {
  if (!HasTimeToRetry(submission.deadline)) {
    this->Answer(submission, JobRequestOutcome::kUnknown);
    return;
  }
  RunLater(kCallRetryDelay,
           this->alive.Guard([this, again = std::move(submission)]() {
             this->queues[again.shard].waiting.push_back(again);
             this->SendBatch(again.shard);
           }));
}

auto SubmissionSender::AnswerStored(const Submission& submission) -> void {
  if (submission.kind == SubmissionKind::kTombstone) {
    this->logger.Info("jobs", "tombstone_stored",
                      {{"job", submission.job}, {"shard", submission.shard}});
  } else if (IsCancelled(submission)) {
    this->logger.Info("jobs", "submission_cancelled",
                      {{"job", submission.job}, {"shard", submission.shard}});
  }
  this->Answer(submission, JobRequestOutcome::kStored);
}

auto SubmissionSender::Answer(const Submission& submission,
                              JobRequestOutcome outcome) -> void {
  const auto callback = this->callbacks.extract(submission.number);
  callback.mapped()(outcome);
}

}  // namespace fireflythread
