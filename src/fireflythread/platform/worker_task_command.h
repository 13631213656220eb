#ifndef FIREFLYTHREAD_PLATFORM_WORKER_TASK_COMMAND_H_
#define FIREFLYTHREAD_PLATFORM_WORKER_TASK_COMMAND_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

enum class WorkerTaskCommandKind {
  kRun,
  kRenew,
  kCheckpoint,
  kThrottle,
  kStop
};

/// An order to a worker about one long task. `lease` says how long the worker
/// may go on without a renewal. `body` is the task's input and `checkpoint`
/// the object key to resume from; both are used by kRun only.
struct WorkerTaskCommand {
  VmId vm;
  TaskId task;
  WorkerTaskCommandKind kind = WorkerTaskCommandKind::kRun;
  std::uint64_t fence = 0;
  Duration lease{0};
  std::string body;
  std::string checkpoint;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_WORKER_TASK_COMMAND_H_
