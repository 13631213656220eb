#include "fireflythread/entry/job_request_handler.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/run_later.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_job.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Delay before a store call for a caller's request is retried.
constexpr milliseconds kCallRetryDelay{100};

/// Returns the timeout of a store call for a request with this deadline.
auto CallTimeout(TimePoint deadline) -> Duration {
  const Duration left = deadline - ReadBootClock();
  return std::clamp<Duration>(left, milliseconds(1), kStoreTimeout);
}

auto HasTimeToRetry(TimePoint deadline) -> bool {
  return deadline - ReadBootClock() > 2 * kCallRetryDelay;
}

}  // namespace

struct JobRequestHandler::Lookup {
  std::vector<ShardName> shards;
  std::size_t next = 0;
  JobId job;
  /// Organisation of the caller; no value where organisations are not checked.
  std::optional<OrganisationName> caller;
  TimePoint deadline;
  StateCallback callback;

  /// Returns whether the caller may learn of the job that a row belongs to. A
  /// job without organisation belongs to everybody.
  [[nodiscard]] auto MayRead(const std::string& row) const -> bool {
    if (!this->caller) {
      return true;
    }
    const OrganisationName owner = DecodeRowOrganisation(row);
    return owner.empty() || owner == *this->caller;
  }
};

JobRequestHandler::JobRequestHandler(TableStore& table_store, const Logger& log)
    : store(table_store), logger(log) {}

auto JobRequestHandler::Submit(const ShardName& shard,
                               const std::string& ended_key,
                               const std::vector<ShardName>& other_shards,
                               const JobRequest& job,
                               TimePoint deadline,
                               OutcomeCallback callback) -> void {
  Submission submission;
  submission.number = ++this->last_submission;
  submission.shard = shard;
  submission.ended_key = ended_key;
  submission.other_shards = other_shards;
  submission.job = job.id;
  submission.organisation = job.organisation;
  submission.value = EncodeJobRequest(job);
  submission.deadline = deadline;
  this->submitters.emplace(submission.number, std::move(callback));
  this->submissions[shard].waiting.push_back(std::move(submission));
  this->SendSubmissions(shard);
}

auto JobRequestHandler::SendSubmissions(const ShardName& shard) -> void {
  SubmissionQueue& queue = this->submissions[shard];
  for (const Submission& expired : TakeExpired(queue, ReadBootClock())) {
    this->AnswerSubmission(expired, expired.uncertain
                                        ? JobRequestOutcome::kUnknown
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
  Transaction transaction = MakeSubmissionTransaction(batch);
  this->store.Commit(std::move(transaction), CallTimeout(deadline),
                     this->alive.Guard([this, shard, sent = std::move(batch)](
                                           const TransactionOutcome& outcome) {
                       this->ApplySubmissionOutcome(shard, sent, outcome);
                     }));
}

auto JobRequestHandler::ApplySubmissionOutcome(
    const ShardName& shard,
    std::vector<Submission> batch,
    const TransactionOutcome& outcome) -> void {
  SubmissionQueue& queue = this->submissions[shard];
  queue.committing = false;
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    // A row that exists already was stored by an earlier attempt or an earlier
    // request.
    ConflictSplit split = SplitConflict(std::move(batch), *conflict);
    PutBack(queue, std::move(split.again));
    for (const Submission& submission : split.moved) {
      this->AnswerSubmission(submission, JobRequestOutcome::kMoved);
    }
    for (const Submission& submission : split.foreign) {
      this->AnswerSubmission(submission, JobRequestOutcome::kForeign);
    }
    for (Submission& submission : split.unclear) {
      submission.uncertain = true;
      this->RetrySubmission(std::move(submission));
    }
    batch = std::move(split.stored);
  }
  const bool stored = std::holds_alternative<Committed>(outcome) ||
                      std::holds_alternative<Conflict>(outcome);
  const bool unknown = std::holds_alternative<CommitUnknown>(outcome);
  for (Submission& submission : batch) {
    submission.uncertain = submission.uncertain || unknown;
    if (stored) {
      this->AnswerSubmission(submission, JobRequestOutcome::kStored);
    } else if (!submission.uncertain) {
      this->AnswerSubmission(submission, JobRequestOutcome::kNotStored);
    } else {
      this->RetrySubmission(std::move(submission));
    }
  }
  this->SendSubmissions(shard);
}

auto JobRequestHandler::RetrySubmission(Submission submission) -> void {
  if (!HasTimeToRetry(submission.deadline)) {
    this->AnswerSubmission(submission, JobRequestOutcome::kUnknown);
    return;
  }
  RunLater(kCallRetryDelay,
           this->alive.Guard([this, again = std::move(submission)]() {
             this->submissions[again.shard].waiting.push_back(again);
             this->SendSubmissions(again.shard);
           }));
}

auto JobRequestHandler::AnswerSubmission(const Submission& submission,
                                         JobRequestOutcome outcome) -> void {
  const auto submitter = this->submitters.extract(submission.number);
  submitter.mapped()(outcome);
}

auto JobRequestHandler::ReadState(std::vector<ShardName> shards,
                                  const JobId& job,
                                  const std::optional<OrganisationName>& caller,
                                  TimePoint deadline,
                                  StateCallback callback) -> void {
  auto lookup = std::make_shared<Lookup>();
  lookup->shards = std::move(shards);
  lookup->job = job;
  lookup->caller = caller;
  lookup->deadline = deadline;
  lookup->callback = std::move(callback);
  this->TryRead(lookup);
}

// The rows of an ended job are moved from the progress and job tables to the
// table of ended jobs in one transaction. When the tables are read in this
// order, a job that is missing from the first two is in the third.
auto JobRequestHandler::TryRead(const std::shared_ptr<Lookup>& lookup) -> void {
  const ShardName& shard = lookup->shards[lookup->next];
  RangeRequest range{std::string(kProgressTable), shard.value,
                     lookup->job.value, lookup->job.value + '\x01'};
  this->store.ReadRange(std::move(range), CallTimeout(lookup->deadline),
                        this->alive.Guard([this, lookup](auto&& result) {
                          const auto* page = std::get_if<RangePage>(&result);
                          if (page == nullptr) {
                            this->RetryRead(lookup);
                            return;
                          }
                          if (page->rows.empty()) {
                            this->TryReadJob(lookup);
                            return;
                          }
                          if (!lookup->MayRead(page->rows.front().value)) {
                            lookup->callback(JobRequestOutcome::kNoJob);
                            return;
                          }
                          const auto state =
                              DecodeJobState(page->rows.front().value);
                          if (state) {
                            lookup->callback(*state);
                          } else {
                            this->logger.Error("desk", "unreadable_progress",
                                               {{"job", lookup->job}});
                            lookup->callback(JobRequestOutcome::kUnknown);
                          }
                        }));
}

auto JobRequestHandler::TryReadJob(const std::shared_ptr<Lookup>& lookup)
    -> void {
  const ShardName& shard = lookup->shards[lookup->next];
  RangeRequest range{JobTable(shard), shard.value, lookup->job.value + "/",
                     lookup->job.value + "0"};
  this->store.ReadRange(
      std::move(range), CallTimeout(lookup->deadline),
      this->alive.Guard([this, lookup](auto&& result) {
        const auto* page = std::get_if<RangePage>(&result);
        if (page == nullptr) {
          this->RetryRead(lookup);
          return;
        }
        bool found = false;
        bool readable = true;
        bool cancelled = false;
        for (const Row& row : page->rows) {
          const auto key = ParseJobTableKey(row.key);
          if (key && !key->is_cancel) {
            found = true;
            readable = lookup->MayRead(row.value);
          }
          cancelled = cancelled || (key && key->is_cancel);
        }
        // A cancellation without a job row was stored while its job was moved.
        if (!found) {
          this->TryReadEnded(lookup);
          return;
        }
        if (!readable) {
          lookup->callback(JobRequestOutcome::kNoJob);
          return;
        }
        lookup->callback(cancelled ? JobState::kCancelled : JobState::kQueued);
      }));
}

auto JobRequestHandler::TryReadEnded(const std::shared_ptr<Lookup>& lookup)
    -> void {
  const ShardName& shard = lookup->shards[lookup->next];
  RangeRequest range{std::string(kEndedTable), shard.value, lookup->job.value,
                     lookup->job.value + '\x01'};
  this->store.ReadRange(std::move(range), CallTimeout(lookup->deadline),
                        this->alive.Guard([this, lookup](auto&& result) {
                          const auto* page = std::get_if<RangePage>(&result);
                          if (page == nullptr) {
                            this->RetryRead(lookup);
                            return;
                          }
                          if (page->rows.empty()) {
                            this->TryNextShard(lookup);
                            return;
                          }
                          if (!lookup->MayRead(page->rows.front().value)) {
                            lookup->callback(JobRequestOutcome::kNoJob);
                            return;
                          }
                          const auto ended =
                              DecodeEndedJob(page->rows.front().value);
                          if (ended) {
                            lookup->callback(ended->state);
                          } else {
                            this->logger.Error("desk", "unreadable_progress",
                                               {{"job", lookup->job}});
                            lookup->callback(JobRequestOutcome::kUnknown);
                          }
                        }));
}

auto JobRequestHandler::TryNextShard(const std::shared_ptr<Lookup>& lookup)
    -> void {
  ++lookup->next;
  if (lookup->next >= lookup->shards.size()) {
    lookup->callback(JobRequestOutcome::kNoJob);
    return;
  }
  this->TryRead(lookup);
}

auto JobRequestHandler::RetryRead(const std::shared_ptr<Lookup>& lookup)
    -> void {
  if (!HasTimeToRetry(lookup->deadline)) {
    lookup->callback(JobRequestOutcome::kUnknown);
    return;
  }
  RunLater(kCallRetryDelay,
           this->alive.Guard([this, lookup]() { this->TryRead(lookup); }));
}

auto JobRequestHandler::Cancel(std::vector<ShardName> shards,
                               const JobId& job,
                               const std::optional<OrganisationName>& caller,
                               TimePoint deadline,
                               OutcomeCallback callback) -> void {
  auto lookup = std::make_shared<Lookup>();
  lookup->shards = std::move(shards);
  lookup->job = job;
  lookup->caller = caller;
  lookup->deadline = deadline;
  // The callback holds only a weak reference, so that the lookup doesn't own
  // itself.
  lookup->callback =
      [this, weak = std::weak_ptr<Lookup>(lookup), job, deadline,
       done = std::move(callback)](
          const std::variant<JobState, JobRequestOutcome>& result) {
        if (const auto* outcome = std::get_if<JobRequestOutcome>(&result)) {
          done(*outcome);
          return;
        }
        if (IsFinal(std::get<JobState>(result))) {
          done(JobRequestOutcome::kStored);
          return;
        }
        const auto owner = weak.lock();
        this->StoreCancel(owner->shards[owner->next], job, deadline, done);
      };
  this->TryRead(lookup);
}

auto JobRequestHandler::StoreCancel(const ShardName& shard,
                                    const JobId& job,
                                    TimePoint deadline,
                                    OutcomeCallback callback) -> void {
  Transaction transaction;
  transaction.writes.push_back(
      {JobTable(shard), CancelKey(job), "{}", shard.value});
  this->store.Commit(
      std::move(transaction), CallTimeout(deadline),
      this->alive.Guard(
          [this, shard, job, deadline,
           done = std::move(callback)](const TransactionOutcome& outcome) {
            if (std::holds_alternative<Committed>(outcome)) {
              done(JobRequestOutcome::kStored);
              return;
            }
            if (!HasTimeToRetry(deadline)) {
              done(JobRequestOutcome::kUnknown);
              return;
            }
            RunLater(kCallRetryDelay,
                     this->alive.Guard([this, shard, job, deadline, done]() {
                       this->StoreCancel(shard, job, deadline, done);
                     }));
          }));
}

/// The waiting jobs of a queue, added up shard by shard.
struct JobRequestHandler::WaitingSum {
  std::vector<ShardName> shards;
  std::size_t next = 0;
  QueueId queue;
  /// An owner of an earlier version counts by the queues' names.
  QueueName queue_name;
  int jobs = 0;
  CountCallback callback;
};

auto JobRequestHandler::ReadWaiting(const std::vector<ShardName>& shards,
                                    const Queue& queue,
                                    CountCallback callback) -> void {
  if (shards.empty()) {
    callback(std::nullopt);
    return;
  }
  this->ReadNextWaiting(std::make_shared<WaitingSum>(
      WaitingSum{shards, 0, IdOf(queue), queue.name, 0, std::move(callback)}));
}

auto JobRequestHandler::ReadNextWaiting(const std::shared_ptr<WaitingSum>& sum)
    -> void {
  const ShardName& shard = sum->shards[sum->next];
  this->store.ReadRange(
      {std::string(kWaitingTable), shard.value}, kStoreTimeout,
      this->alive.Guard([this, sum](auto&& result) {
        const auto* page = std::get_if<RangePage>(&result);
        // The row is missing while the shard's owner does not know the counts.
        const auto counts = page == nullptr || page->rows.empty()
                                ? nlohmann::json()
                                : nlohmann::json::parse(
                                      page->rows.front().value, nullptr, false);
        if (!counts.is_object()) {
          sum->callback(std::nullopt);
          return;
        }
        sum->jobs += counts.value(sum->queue.value,
                                  counts.value(sum->queue_name.value, 0));
        if (++sum->next == sum->shards.size()) {
          sum->callback(sum->jobs);
          return;
        }
        this->ReadNextWaiting(sum);
      }));
}

}  // namespace fireflythread
