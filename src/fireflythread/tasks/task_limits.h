#ifndef FIREFLYTHREAD_TASKS_TASK_LIMITS_H_
#define FIREFLYTHREAD_TASKS_TASK_LIMITS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Limits of long tasks.
struct TaskLimits {
  /// A worker stops a task that is not renewed for this long.
  Duration lease = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  /// A command is repeated after this time while its effect is not seen.
  Duration command_interval = std::chrono::seconds(2);
  /// A worker that reports nothing of a lease for this long has failed the
  /// task.
  Duration start_timeout = std::chrono::seconds(30);
  /// A worker that has answered no command of a lease for this long, while the
  /// platform answers, is cut off: the lease is not renewed any more.
  Duration command_timeout = std::chrono::seconds(5);
  /// Share of a worker's slots that long tasks may occupy; at least one slot.
  double slot_share = 0.25;
  /// A task that this many different workers failed never runs.
  int max_failed_workers = 3;
  /// A worker that fails this many tasks within `failure_window`, and finishes
  /// none, is reported and gets no tasks for `failure_pause`.
  int failing_worker_threshold = 3;
  Duration failure_window = std::chrono::seconds(60);
  Duration failure_pause = std::chrono::seconds(300);
  /// Rows in one transaction and transactions in one step; they bound what a
  /// burst of cancellations costs. A row that an entry changes at the same time
  /// makes only its own transaction conflict.
  int rows_per_transaction = 16;
  int transactions_per_step = 4;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_LIMITS_H_
