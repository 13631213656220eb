#ifndef FIREFLYTHREAD_JOBS_SHARD_WORKER_H_
#define FIREFLYTHREAD_JOBS_SHARD_WORKER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/worker_view.h"

namespace fireflythread {

/// A reading of a worker's clock: it showed `clock` between the sending of a
/// call and `received_at`.
struct WorkerClock {
  std::chrono::milliseconds clock{0};
  TimePoint received_at;
};

/// A worker in the memory of its shard's owner.
struct ShardWorker {
  WorkerView view;
  /// The worker's entry is in the store.
  bool listed = false;
  /// The worker is known to be gone: another instance answers at its address.
  bool gone = false;
  /// The worker is to be emptied for a move or an upkeep of its VM.
  bool drain_requested = false;
  /// The worker has seen the owner's fencing token.
  bool confirmed = false;
  std::optional<WorkerClock> clock;
  /// The latest lease deadline that any order may have given, on the worker's
  /// clock.
  std::chrono::milliseconds latest_deadline{0};
  /// Start of the life whose runs are known, as the worker's reports say.
  std::chrono::milliseconds reported_start{0};
  /// Newest end taken in, and newest end whose effect is stored.
  std::uint64_t last_applied_completion = 0;
  std::uint64_t last_stored_completion = 0;
  TaskSize used;
  /// Tasks with a run that may exist on this worker.
  std::set<TaskName> tasks;
  /// No starts before this time.
  TimePoint cooldown_until;
  /// Failures since the last run that was done.
  int failures_in_row = 0;
  bool poll_in_flight = false;
  TimePoint next_poll;
  int failed_polls = 0;
  /// Looks in a row whose connection was refused.
  int refused_polls = 0;
  /// When the last report arrived.
  TimePoint reported_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_WORKER_H_
