#ifndef FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_
#define FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// What a submission stores if there is no such job.
enum class SubmissionKind : std::uint8_t {
  /// The job. If it was cancelled ahead, a cancelled job that has ended.
  kJob,
  /// A cancel tombstone, which keeps the job from being stored.
  kTombstone
};

/// A caller's job that is being stored, or the cancellation of a job that was
/// not found.
struct Submission {
  /// Identifies the caller's request in this process.
  std::uint64_t number = 0;
  ShardName shard;
  /// Key of the row whose absence in the shard's part says that the queue is
  /// still assigned there; see EndedAssignmentKey().
  std::string ended_key;
  /// Other shards that may have accepted the same job before.
  std::vector<ShardName> other_shards;
  JobId job;
  SubmissionKind kind = SubmissionKind::kJob;
  /// Of a job, its organisation, empty for none. Of a tombstone, that of the
  /// caller; no value where organisations are not checked.
  std::optional<OrganisationName> caller;
  /// Value of the job's row; empty for a tombstone.
  std::string value;
  /// The tombstones of the job that an earlier attempt has found.
  std::map<ShardName, StoredTombstone> tombstones;
  TimePoint deadline;
  /// An earlier attempt got no answer and may still take effect.
  bool uncertain = false;
  /// Must have a transaction of its own, because the conflict of a larger
  /// transaction did not tell which job caused it.
  bool alone = false;
};

/// The submissions to one shard that wait while a transaction with earlier ones
/// is in flight. When transactions run one at a time and take long, each then
/// stores many jobs.
struct SubmissionQueue {
  std::deque<Submission> waiting;
  bool committing = false;
};

/// The submissions of a conflicting transaction, by outcome.
struct ConflictSplit {
  /// The job was stored by an earlier request.
  std::vector<Submission> stored;
  /// To be retried.
  std::vector<Submission> again;
  /// Not stored: the tombstone names too many organisations already.
  std::vector<Submission> refused;
  /// Not stored, and never will be in this shard: its queue is assigned
  /// elsewhere.
  std::vector<Submission> moved;
  /// Not stored: another organisation has a job with this id.
  std::vector<Submission> foreign;
  /// The conflict does not tell why; the job may be stored.
  std::vector<Submission> unclear;
};

/// Removes and returns the waiting submissions that have too little time left
/// for a transaction. A late one would make the outcome of all others in its
/// transaction uncertain.
[[nodiscard]] auto TakeExpired(SubmissionQueue& queue, TimePoint now)
    -> std::vector<Submission>;

/// Removes and returns the next submissions that fit into one transaction. The
/// result is empty while a transaction is in flight or nothing waits. A batch
/// never contains the same job twice.
[[nodiscard]] auto TakeSubmissions(SubmissionQueue& queue)
    -> std::vector<Submission>;

/// Returns whether the job of a submission is known to be cancelled.
[[nodiscard]] auto IsCancelled(const Submission& submission) -> bool;

/// Makes the transaction that stores each job or tombstone on the condition
/// that its queue is still assigned to the shard, that no shard has or recently
/// had the job, and that no tombstone has been written meanwhile.
[[nodiscard]] auto MakeSubmissionTransaction(
    const std::vector<Submission>& batch,
    WallTime now) -> Transaction;

[[nodiscard]] auto SplitConflict(std::vector<Submission> batch,
                                 const Conflict& conflict) -> ConflictSplit;

/// Returns submissions to the front of the queue.
auto PutBack(SubmissionQueue& queue, std::vector<Submission> batch) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_
