#ifndef FIREFLYTHREAD_PLATFORM_WORKER_TASK_REPORT_H_
#define FIREFLYTHREAD_PLATFORM_WORKER_TASK_REPORT_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

enum class WorkerTaskState {
  kRunning,
  kCheckpointed,
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired
};

/// What a worker last reported of a long task; it lags behind. `checkpoint`
/// and `result` are object keys, empty when there is none.
struct WorkerTaskReport {
  TaskId task;
  VmId vm;
  std::uint64_t fence = 0;
  WorkerTaskState state = WorkerTaskState::kRunning;
  double progress = 0;
  std::string checkpoint;
  std::string result;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_WORKER_TASK_REPORT_H_
