#ifndef FIREFLYTHREAD_DAEMON_ADMIN_TASK_WAITERS_H_
#define FIREFLYTHREAD_DAEMON_ADMIN_TASK_WAITERS_H_

#include "fireflythread/daemon/admin_task.h"

namespace fireflythread {

/// A call that waits for the controller's report.
struct AdminTask::ReportWaiter {
  TimePoint deadline;
  ReportCallback callback;
};

/// A call that waits for a configuration version to be in force everywhere.
struct AdminTask::ConfigWaiter {
  std::uint64_t version = 0;
  TimePoint deadline;
  Callback<admin::ConfigVersionStatus> callback;
  /// When the rows of table `cell` are read next.
  TimePoint next;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_ADMIN_TASK_WAITERS_H_
