#ifndef FIREFLYTHREAD_JOBS_SHARD_WORKER_H_
#define FIREFLYTHREAD_JOBS_SHARD_WORKER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

#include "fireflythread/base/time.h"
#include "fireflythread/interference/filler_pace.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/worker_view.h"

namespace fireflythread {

/// A reading of a worker's clock: the worker read `clock` at some time between
/// the sending of a call and `received_at`.
struct WorkerClock {
  std::chrono::milliseconds clock{0};
  TimePoint received_at;
};

/// A worker in the memory of its shard's owner.
struct ShardWorker {
  WorkerView view;
  /// The worker is registered in the store.
  bool listed = false;
  /// The worker no longer exists: another instance answers at its address.
  bool gone = false;
  /// The worker is to be drained for a move or for upkeep of its VM.
  bool drain_requested = false;
  /// The worker has accepted the owner's fencing token.
  bool confirmed = false;
  std::optional<WorkerClock> clock;
  /// The latest lease deadline that any order may have set, on the worker's
  /// clock.
  std::chrono::milliseconds latest_deadline{0};
  /// Start time of the incarnation whose runs are known, as the worker reports
  /// it.
  std::chrono::milliseconds reported_start{0};
  /// Time at which a restart was last noticed; empty while none was.
  std::optional<TimePoint> restart_noticed_at;
  /// Time at which a start was found to have got no answer; empty once a later
  /// report has told the incarnation.
  std::optional<TimePoint> start_unanswered_at;
  /// Numbers of the last applied completion and of the last one whose effects
  /// are stored.
  std::uint64_t last_applied_completion = 0;
  std::uint64_t last_stored_completion = 0;
  /// Number up to which an answered poll has told the worker that it may forget
  /// completions.
  std::uint64_t acknowledged_completion = 0;
  /// The same for the poll in flight.
  std::uint64_t acknowledging_completion = 0;
  TaskSize used;
  /// The part of `used` that long-running tasks take, and their number.
  TaskSize long_running_used;
  int long_running_tasks = 0;
  /// Number of serving tasks and of fillers among `tasks`.
  int serving_tasks = 0;
  int fillers = 0;
  /// Speed limit of the fillers.
  FillerPace filler_pace;
  /// All fillers are known to have their speed limit.
  bool paces_settled = true;
  /// Tasks with a run that may exist on this worker.
  std::set<TaskName> tasks;
  /// No runs are started on the worker before this time.
  TimePoint cooldown_until;
  /// Failures since the last successful run.
  int failures_in_row = 0;
  bool poll_in_flight = false;
  TimePoint next_poll;
  int failed_polls = 0;
  /// Consecutive polls whose connection was refused.
  int refused_polls = 0;
  /// Arrival time of the last report.
  TimePoint reported_at;
};

/// Returns the number of tasks of one step of one occurrence on a worker, that
/// of `name`.
[[nodiscard]] auto CountSiblings(const ShardWorker& worker,
                                 const TaskName& name) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_WORKER_H_
