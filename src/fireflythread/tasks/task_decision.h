#ifndef FIREFLYTHREAD_TASKS_TASK_DECISION_H_
#define FIREFLYTHREAD_TASKS_TASK_DECISION_H_

#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread {

/// A worker that has failed many tasks within a short time.
struct FailingWorker {
  VmId vm;
  int tasks = 0;
};

/// What the daemon has to carry out after a step. The transactions are
/// independent of each other. A command is issued again in later steps until a
/// worker reports its effect.
struct TaskDecision {
  std::vector<Transaction> transactions;
  std::vector<WorkerTaskCommand> commands;
  /// Numbers of queued and running tasks and the workers that get no tasks
  /// because of failures, for operators.
  int queued = 0;
  int running = 0;
  std::vector<FailingWorker> failing_workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_DECISION_H_
