#include "fireflythread/jobs/submission_queue.h"

#include <chrono>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {
namespace {

/// Maximum number of entries of a transaction, some less than the store
/// accepts.
constexpr std::size_t kMaxEntries = 90;

/// Maximum size of a transaction's rows, which leaves space for the base64
/// encoding and the names.
constexpr std::size_t kMaxBytes = 400000;

/// Typical duration of a transaction of a slow store.
constexpr std::chrono::milliseconds kMinCommitTime{300};

/// Counts two conditions for each shard, on the job's row and on the ended
/// job's row, and one write.
auto EntryCount(const Submission& submission) -> std::size_t {
  return 1 + 2 * (1 + submission.other_shards.size());
}

/// Requires that a shard has no such job, neither open nor ended. An ended
/// job's rows are moved in one transaction, so one of the two always exists.
auto AddAbsence(const ShardName& shard,
                const JobId& job,
                Transaction& transaction) -> void {
  transaction.conditions.push_back(
      {JobTable(shard), JobKey(job), 0, shard.value});
  transaction.conditions.push_back(
      {std::string(kEndedTable), job.value, 0, shard.value});
}

}  // namespace

auto TakeExpired(SubmissionQueue& queue, TimePoint now)
    -> std::vector<Submission> {
  std::vector<Submission> expired;
  std::deque<Submission> left;
  for (Submission& submission : queue.waiting) {
    if (submission.deadline - now < kMinCommitTime) {
      expired.push_back(std::move(submission));
    } else {
      left.push_back(std::move(submission));
    }
  }
  queue.waiting = std::move(left);
  return expired;
}

auto TakeSubmissions(SubmissionQueue& queue) -> std::vector<Submission> {
  std::vector<Submission> batch;
  if (queue.committing) {
    return batch;
  }
  std::set<JobId> jobs;
  std::size_t entries = 0;
  std::size_t bytes = 0;
  while (!queue.waiting.empty()) {
    Submission& next = queue.waiting.front();
    entries += EntryCount(next);
    bytes += next.value.size();
    const bool full = entries > kMaxEntries || bytes > kMaxBytes;
    const bool apart = next.alone || jobs.contains(next.job);
    if (!batch.empty() && (full || apart || batch.front().alone)) {
      break;
    }
    jobs.insert(next.job);
    batch.push_back(std::move(next));
    queue.waiting.pop_front();
  }
  queue.committing = !batch.empty();
  return batch;
}

auto MakeSubmissionTransaction(const std::vector<Submission>& batch)
    -> Transaction {
  Transaction transaction;
  for (const Submission& submission : batch) {
    AddAbsence(submission.shard, submission.job, transaction);
    for (const ShardName& other : submission.other_shards) {
      AddAbsence(other, submission.job, transaction);
    }
    transaction.writes.push_back({JobTable(submission.shard),
                                  JobKey(submission.job), submission.value,
                                  submission.shard.value});
  }
  return transaction;
}

auto SplitConflict(std::vector<Submission> batch, const Conflict& conflict)
    -> ConflictSplit {
  std::set<std::string> present;
  for (const Row& row : conflict.current) {
    if (row.version > 0) {
      present.insert(row.key);
    }
  }
  ConflictSplit split;
  // A conflict of a transaction with a single job concerns that job.
  const bool single = batch.size() == 1;
  for (Submission& submission : batch) {
    // The key of an ended job's row is the job's id.
    const bool known = present.contains(JobKey(submission.job)) ||
                       present.contains(submission.job.value);
    if (single || known) {
      split.stored.push_back(std::move(submission));
    } else {
      split.again.push_back(std::move(submission));
    }
  }
  if (split.stored.empty()) {
    for (Submission& submission : split.again) {
      submission.alone = true;
    }
  }
  return split;
}

auto PutBack(SubmissionQueue& queue, std::vector<Submission> batch) -> void {
  queue.waiting.insert(queue.waiting.begin(),
                       std::make_move_iterator(batch.begin()),
                       std::make_move_iterator(batch.end()));
}

}  // namespace fireflythread
