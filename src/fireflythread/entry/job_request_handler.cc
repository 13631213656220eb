#include "fireflythread/entry/job_request_handler.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/entry/call_deadline.h"
#include "fireflythread/entry/run_later.h"
#include "fireflythread/entry/store_timeouts.h"
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

JobRequestHandler::JobRequestHandler(TableStore& table_store, const Logger& log)
    : store(table_store), sender(table_store, log), lookup(table_store, log) {}

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
  this->lookup.Find(
      {std::move(shards), job, caller, deadline},
      [done = std::move(callback)](const JobLookup::Result& result) -> void {
        if (const auto* found = std::get_if<JobLookup::FoundJob>(&result)) {
          done(found->state);
        } else {
          done(std::get<JobRequestOutcome>(result));
        }
      });
}

auto JobRequestHandler::Cancel(std::vector<ShardName> shards,
                               const JobId& job,
                               const std::optional<OrganisationName>& caller,
                               TimePoint deadline,
                               OutcomeCallback callback) -> void {
  this->lookup.Find({std::move(shards), job, caller, deadline},
                    [this, job, deadline, done = std::move(callback)](
                        const JobLookup::Result& result) -> void {
                      const auto* found =
                          std::get_if<JobLookup::FoundJob>(&result);
                      if (found == nullptr) {
                        done(std::get<JobRequestOutcome>(result));
                      } else if (IsFinal(found->state)) {
                        done(JobRequestOutcome::kStored);
                      } else {
                        this->StoreCancel(found->shard, job, deadline, done);
                      }
                    });
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
