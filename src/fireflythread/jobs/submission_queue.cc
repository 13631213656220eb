#include "fireflythread/jobs/submission_queue.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/queue_assignments.h"
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

/// Requires that the assignments of the submissions' queues have not ended.
auto AddAssignments(const std::vector<Submission>& batch,
                    Transaction& transaction) -> void {
  std::set<std::string> keys;
  for (const Submission& submission : batch) {
    if (keys.insert(submission.ended_key).second) {
      transaction.conditions.push_back({std::string(kQueueAssignmentTable),
                                        submission.ended_key, 0,
                                        submission.shard.value});
    }
  }
}

/// Requires that a shard has no such job, neither open nor ended, and no other
/// tombstone than the one that is known. An ended job's rows are moved in one
/// transaction, so one of the two always exists.
auto AddAbsence(const ShardName& shard,
                const Submission& submission,
                Transaction& transaction) -> void {
  const auto known = submission.tombstones.find(shard);
  const std::uint64_t tombstone =
      known == submission.tombstones.end() ? 0 : known->second.version;
  transaction.conditions.push_back(
      {JobTable(shard), JobKey(submission.job), 0, shard.value});
  transaction.conditions.push_back(
      {std::string(kEndedTable), submission.job.value, tombstone, shard.value});
}

auto MakeTombstone(const Submission& submission, WallTime now)
    -> CancelTombstone {
  const auto known = submission.tombstones.find(submission.shard);
  return WithCancellation(known == submission.tombstones.end()
                              ? CancelTombstone{}
                              : known->second.tombstone,
                          submission.caller, now);
}

/// Returns the organisation of a submitted job; empty for none.
auto OwnerOf(const Submission& submission) -> OrganisationName {
  return submission.caller.value_or(OrganisationName());
}

auto MakeWrite(const Submission& submission, WallTime now) -> Write {
  const std::string& part = submission.shard.value;
  const std::string ended_table(kEndedTable);
  if (submission.kind == SubmissionKind::kTombstone) {
    return {ended_table, submission.job.value,
            EncodeCancelTombstone(MakeTombstone(submission, now)), part};
  }
  if (IsCancelled(submission)) {
    return {ended_table, submission.job.value,
            EncodeEndedJob({JobState::kCancelled, now, OwnerOf(submission)}),
            part};
  }
  return {JobTable(submission.shard), JobKey(submission.job), submission.value,
          part};
}

/// The part and the key of a row in the table of ended jobs.
using EndedRowKey = std::pair<std::string, std::string>;

/// The keys of a conflict's rows that exist: those of jobs, with their values,
/// tombstones, and those of assignments that have ended.
struct PresentRows {
  std::map<std::string, std::string> jobs;
  std::map<EndedRowKey, StoredTombstone> tombstones;
  std::set<std::string> ended_assignments;
  /// Rows in the table of ended jobs that do not exist.
  std::set<EndedRowKey> absent_ended_rows;
};

auto AddEndedRow(const Row& row, PresentRows& present) -> void {
  const EndedRowKey key{row.part, row.key};
  if (row.version == 0) {
    present.absent_ended_rows.insert(key);
  } else if (auto tombstone = DecodeCancelTombstone(row.value)) {
    present.tombstones[key] = {std::move(*tombstone), row.version};
  } else {
    present.jobs.emplace(row.key, row.value);
  }
}

auto FindPresent(const Conflict& conflict) -> PresentRows {
  PresentRows present;
  for (const Row& row : conflict.current) {
    if (row.table == kEndedTable) {
      AddEndedRow(row, present);
    } else if (row.version == 0) {
      continue;
    } else if (row.table == kQueueAssignmentTable) {
      present.ended_assignments.insert(row.key);
    } else {
      present.jobs.emplace(row.key, row.value);
    }
  }
  return present;
}

/// Returns the value of the row that shows that a job exists, or null. The key
/// of an ended job's row is the job's id.
auto FindJobRow(const PresentRows& present, const JobId& job)
    -> const std::string* {
  auto row = present.jobs.find(JobKey(job));
  if (row == present.jobs.end()) {
    row = present.jobs.find(job.value);
  }
  return row == present.jobs.end() ? nullptr : &row->second;
}

/// Returns whether a row's job belongs to another organisation than the caller
/// of a submission.
auto IsForeign(const std::string& row, const Submission& submission) -> bool {
  const OrganisationName owner = DecodeRowOrganisation(row);
  if (submission.kind == SubmissionKind::kTombstone) {
    return !MayAccess(submission.caller, owner);
  }
  return !MayAccess(OwnerOf(submission), owner);
}

/// Takes over what a conflict says about the tombstones of a submission's job
/// in one shard. Returns whether anything is new.
auto LearnTombstone(const PresentRows& present,
                    const ShardName& shard,
                    Submission& submission) -> bool {
  const EndedRowKey key{shard.value, submission.job.value};
  const auto found = present.tombstones.find(key);
  if (found != present.tombstones.end()) {
    submission.tombstones[shard] = found->second;
    return true;
  }
  return present.absent_ended_rows.contains(key) &&
         submission.tombstones.erase(shard) > 0;
}

auto LearnTombstones(const PresentRows& present, Submission& submission)
    -> bool {
  bool learned = LearnTombstone(present, submission.shard, submission);
  for (const ShardName& shard : submission.other_shards) {
    learned = LearnTombstone(present, shard, submission) || learned;
  }
  return learned;
}

/// Returns whether a tombstone can't name one caller more.
auto IsTombstoneFull(const Submission& submission) -> bool {
  const auto known = submission.tombstones.find(submission.shard);
  return submission.kind == SubmissionKind::kTombstone &&
         known != submission.tombstones.end() &&
         !HasRoomFor(known->second.tombstone, submission.caller);
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
  std::set<std::string> assignments;
  std::size_t entries = 0;
  std::size_t bytes = 0;
  while (!queue.waiting.empty()) {
    Submission& next = queue.waiting.front();
    entries += EntryCount(next);
    entries += assignments.insert(next.ended_key).second ? 1 : 0;
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

auto IsCancelled(const Submission& submission) -> bool {
  const OrganisationName owner = OwnerOf(submission);
  return std::any_of(submission.tombstones.begin(), submission.tombstones.end(),
                     [&owner](const auto& known) -> bool {
                       return IsCancelled(known.second.tombstone, owner);
                     });
}

auto MakeSubmissionTransaction(const std::vector<Submission>& batch,
                               WallTime now) -> Transaction {
  Transaction transaction;
  AddAssignments(batch, transaction);
  for (const Submission& submission : batch) {
    AddAbsence(submission.shard, submission, transaction);
    for (const ShardName& other : submission.other_shards) {
      AddAbsence(other, submission, transaction);
    }
    transaction.writes.push_back(MakeWrite(submission, now));
  }
  return transaction;
}

auto SplitConflict(std::vector<Submission> batch, const Conflict& conflict)
    -> ConflictSplit {
  const PresentRows present = FindPresent(conflict);
  ConflictSplit split;
  const bool single = batch.size() == 1;
  bool explained = false;
  for (Submission& submission : batch) {
    const std::string* row = FindJobRow(present, submission.job);
    if (row != nullptr) {
      const bool foreign = IsForeign(*row, submission);
      (foreign ? split.foreign : split.stored).push_back(std::move(submission));
    } else if (present.ended_assignments.contains(submission.ended_key)) {
      split.moved.push_back(std::move(submission));
    } else if (LearnTombstones(present, submission)) {
      const bool full = IsTombstoneFull(submission);
      (full ? split.refused : split.again).push_back(std::move(submission));
      explained = true;
    } else if (single) {
      split.unclear.push_back(std::move(submission));
    } else {
      split.again.push_back(std::move(submission));
    }
  }
  explained = explained || !split.stored.empty() || !split.moved.empty() ||
              !split.foreign.empty();
  if (!explained) {
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
