#ifndef FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_
#define FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_

#include <chrono>

namespace fireflythread {

/// Time limits and intervals of a shard's owner.
struct ShardLimits {
  /// Lease of all runs on a worker. Short enough that the work of a lost worker
  /// soon runs again, long enough to outlast a change of owner.
  std::chrono::milliseconds run_lease{6000};
  /// Longest lease that a worker grants; it shortens longer ones.
  std::chrono::milliseconds max_run_lease{10000};
  /// Time for which an order without an answer may still be carried out.
  std::chrono::milliseconds late_order{5000};
  /// An owner that cannot reach the store extends leases for at most this long
  /// after it sent the last renewal that the store confirmed.
  std::chrono::milliseconds extend_without_store{6000};
  /// Minimum time between an owner's last renewal and a takeover of its shard.
  std::chrono::milliseconds takeover_after{3000};
  /// Maximum amount by which a worker's clock may be slow, in percent.
  int slow_clock_percent = 2;
  /// Maximum time that a worker needs to stop a run.
  std::chrono::milliseconds stop_time{400};
  /// A new owner is told of a lost worker for this long after its runs were
  /// released, which takes effect in the store later.
  std::chrono::milliseconds released_retention{5000};
  /// Maximum time that a poll waits for a completion.
  std::chrono::milliseconds poll_wait{2000};
  /// The same for a worker with fillers beside serving tasks: the speed of the
  /// fillers must follow the serving tasks' tail latency, which a worker
  /// reports for the last half second.
  std::chrono::milliseconds paced_poll_wait{500};
  /// Delay of a poll after a completion or a start, so that the completions and
  /// starts of that time share one. Without effect while tasks wait for
  /// capacity, which a completion frees.
  std::chrono::milliseconds poll_spacing{50};
  /// Time between polls of a worker without runs.
  std::chrono::milliseconds idle_poll{4000};
  /// Reports that are older than this are not relied on.
  std::chrono::milliseconds report_validity{2500};
  /// Delay of the next poll after a poll without an answer.
  std::chrono::milliseconds poll_retry{250};
  /// The delay doubles up to this value with each refused connection to a
  /// worker without runs, because its VM has probably moved away.
  std::chrono::milliseconds max_poll_retry{2000};
  /// Delay before a stop without an answer is sent again.
  std::chrono::milliseconds stop_retry{250};
  /// Time without starts on a worker that refused one.
  std::chrono::milliseconds refused_pause{500};
  /// Time without starts on a worker whose runs fail consecutively, for each
  /// failure beyond the first.
  std::chrono::milliseconds failing_pause{1500};
  /// Delay before a failed task runs again.
  std::chrono::milliseconds failed_task_pause{50};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_
