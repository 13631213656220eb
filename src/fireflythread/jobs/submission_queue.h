#ifndef FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_
#define FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// A caller's job on its way to the store.
struct Submission {
  /// Names the caller's request in this process.
  std::uint64_t number = 0;
  ServiceName shard;
  /// Shards that may have accepted the same job before.
  std::vector<ServiceName> other_shards;
  JobId job;
  /// The row's value.
  std::string value;
  TimePoint deadline;
  /// An earlier try got no answer and may still be carried out.
  bool uncertain = false;
  /// Goes into a transaction of its own, as it could not be told which job of
  /// a larger one was in the way.
  bool alone = false;
};

/// The submissions to one shard that wait while a transaction with earlier
/// ones is on its way. A store whose transactions take long, one after the
/// other, then takes many jobs with each.
struct SubmissionQueue {
  std::deque<Submission> waiting;
  bool committing = false;
};

/// What a conflict says about the submissions of a transaction.
struct ConflictSplit {
  /// Already stored by an earlier request.
  std::vector<Submission> stored;
  /// To be tried again.
  std::vector<Submission> again;
};

/// Takes the waiting submissions that have too little time left for a
/// transaction. A late one would make the outcome of all others uncertain.
[[nodiscard]] auto TakeExpired(SubmissionQueue& queue, TimePoint now)
    -> std::vector<Submission>;

/// Takes the next submissions that fit into one transaction; empty while one is
/// on its way or none waits. No job is in a batch twice.
[[nodiscard]] auto TakeSubmissions(SubmissionQueue& queue)
    -> std::vector<Submission>;

/// Stores each job on the condition that no shard has it yet or had it lately.
[[nodiscard]] auto MakeSubmissionTransaction(
    const std::vector<Submission>& batch) -> Transaction;

[[nodiscard]] auto SplitConflict(std::vector<Submission> batch,
                                 const Conflict& conflict) -> ConflictSplit;

/// Puts submissions before those that wait.
auto PutBack(SubmissionQueue& queue, std::vector<Submission> batch) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SUBMISSION_QUEUE_H_
