#include "fireflythread/entry/job_request_handler.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/entry/call_deadline.h"
#include "fireflythread/entry/run_later.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_job.h"

namespace fireflythread {
namespace {

/// Makes a submission without its kind and its value.
auto MakeSubmission(const SubmissionTarget& target,
                    const JobId& job,
                    TimePoint deadline) -> Submission {
  Submission submission;
  submission.shard = target.shard;
  submission.ended_key = target.ended_key;
  submission.other_shards = target.other_shards;
  submission.job = job;
  submission.deadline = deadline;
  return submission;
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
    return MayAccess(this->caller, DecodeRowOrganisation(row));
  }
};

JobRequestHandler::JobRequestHandler(TableStore& table_store, const Logger& log)
    : store(table_store), logger(log), sender(table_store, log) {}

auto JobRequestHandler::Submit(const SubmissionTarget& target,
                               const JobRequest& job,
                               TimePoint deadline,
                               OutcomeCallback callback) -> void {
  Submission submission = MakeSubmission(target, job.id, deadline);
  submission.caller = job.organisation;
  submission.value = EncodeJobRequest(job);
  this->sender.Send(std::move(submission), std::move(callback));
}

auto JobRequestHandler::SubmitTombstone(const SubmissionTarget& target,
                                        const CancelRequest& request,
                                        TimePoint deadline,
                                        OutcomeCallback callback) -> void {
  Submission submission = MakeSubmission(target, request.job, deadline);
  submission.kind = SubmissionKind::kTombstone;
  submission.caller = request.caller;
  this->sender.Send(std::move(submission), std::move(callback));
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
                          if (page->rows.empty() ||
                              DecodeCancelTombstone(page->rows.front().value)) {
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
