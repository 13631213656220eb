#ifndef FIREFLYTHREAD_TASKS_TASK_LIMITS_H_
#define FIREFLYTHREAD_TASKS_TASK_LIMITS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Timeouts and limits of long-running tasks.
struct TaskLimits {
  /// A worker stops a task whose lease has not been renewed for this long.
  Duration lease = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// A command is repeated after this time until its effect is reported.
  Duration command_interval = std::chrono::seconds(2);
  /// If a worker has not reported on a lease for this long, its task counts as
  /// failed there.
  Duration start_timeout = std::chrono::seconds(30);
  /// If a worker has not answered any command of a lease for this long, while
  /// the platform answers, it is unresponsive and the lease is not renewed any
  /// more.
  Duration command_timeout = std::chrono::seconds(5);
  /// Fraction of a worker's slots that long-running tasks may occupy; at least
  /// one slot.
  double slot_share = 0.25;
  /// A task that has failed on this many different workers is not run again.
  int max_failed_workers = 3;
  /// A worker that fails this many tasks within `failure_window`, and finishes
  /// none in between, is reported and gets no tasks for `failure_pause`.
  int failing_worker_threshold = 3;
  Duration failure_window = std::chrono::seconds(60);
  Duration failure_pause = std::chrono::seconds(300);
  /// Upper limits of rows per transaction and transactions per step. They limit
  /// the cost of a burst of cancellations, and if an entry changes a row at the
  /// same time, only the transaction with that row conflicts.
  int rows_per_transaction = 16;
  int transactions_per_step = 4;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_LIMITS_H_
