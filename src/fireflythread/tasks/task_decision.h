#ifndef FIREFLYTHREAD_TASKS_TASK_DECISION_H_
#define FIREFLYTHREAD_TASKS_TASK_DECISION_H_

#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread {

/// A worker that fails many tasks at once.
struct FailingWorker {
  VmId vm;
  int tasks = 0;
};

/// What the daemon carries out after a step. The transactions are independent
/// of each other; commands come again until their effect is reported.
struct TaskDecision {
  std::vector<Transaction> transactions;
  std::vector<WorkerTaskCommand> commands;
  /// For operators.
  int queued = 0;
  int running = 0;
  std::vector<FailingWorker> failing_workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_DECISION_H_
