#ifndef FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_
#define FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_

#include <chrono>

namespace fireflythread {

/// Times that the owner of a shard keeps to.
struct ShardLimits {
  /// Lease of everything that runs on a worker. Short enough that work of a
  /// lost worker soon runs again, long enough to outlast a change of owner.
  std::chrono::milliseconds run_lease{6000};
  /// An owner that cannot reach the store extends leases no longer than this
  /// after it sent the last renewal that the store confirmed.
  std::chrono::milliseconds extend_without_store{6000};
  /// A shard is taken over this long after its owner's last renewal at the
  /// earliest.
  std::chrono::milliseconds takeover_after{3000};
  /// A worker's clock may be this many percent slow.
  int slow_clock_percent = 2;
  /// A stop takes at most this long.
  std::chrono::milliseconds stop_time{400};
  /// Longest wait of a look for an end.
  std::chrono::milliseconds poll_wait{1000};
  /// Time between looks at a worker without runs.
  std::chrono::milliseconds idle_poll{4000};
  /// What a worker reported longer ago than this is not relied on.
  std::chrono::milliseconds report_validity{2500};
  /// Pause after a look that got no answer.
  std::chrono::milliseconds poll_retry{250};
  /// The pause doubles up to this with each refused connection to a worker
  /// without runs: its VM has probably moved away.
  std::chrono::milliseconds max_poll_retry{2000};
  /// Pause before a stop that got no answer is sent again.
  std::chrono::milliseconds stop_retry{250};
  /// Pause after a worker refused a start.
  std::chrono::milliseconds refused_pause{500};
  /// Pause of a worker whose runs fail in a row, for each failure beyond the
  /// first.
  std::chrono::milliseconds failing_pause{1500};
  /// Pause before a task that failed runs again.
  std::chrono::milliseconds failed_task_pause{50};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_LIMITS_H_
