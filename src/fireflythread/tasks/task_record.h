#ifndef FIREFLYTHREAD_TASKS_TASK_RECORD_H_
#define FIREFLYTHREAD_TASKS_TASK_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// State of a long-running task. kDone, kFailed, kCancelled and kNeverRuns are
/// final.
enum class TaskState : std::uint8_t {
  kQueued,
  kRunning,
  kCheckpointing,
  kDone,
  kFailed,
  kCancelling,
  kCancelled,
  kNeverRuns
};

/// A long-running task's row in the `task` table. The entry that accepts the
/// task writes it in state kQueued, and any entry cancels it by writing
/// kCancelling. All other changes are made by the controller.
struct TaskRecord {
  TaskId id;
  std::uint64_t version = 0;
  ServiceName service;
  TaskState state = TaskState::kQueued;
  /// Declared size; 0 means not declared.
  int cores = 0;
  int memory_mb = 0;
  /// The task's input.
  std::string body;
  /// Milliseconds since 1970-01-01 UTC; older tasks are placed first.
  std::int64_t submitted_at_ms = 0;
  /// The worker that holds the lease; empty while the task is queued.
  VmId worker;
  /// Fencing token; incremented with each placement.
  std::uint64_t fence = 0;
  /// Duration of the worker's lease in milliseconds.
  std::int64_t lease_ms = 0;
  /// Object keys of the last checkpoint and of the result; empty when there is
  /// none.
  std::string checkpoint;
  std::string result;
  /// Workers that have failed the task, without duplicates.
  std::vector<VmId> failed_on;
  /// Why the task failed or never runs, for operators and callers.
  std::string reason;

  auto operator==(const TaskRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_RECORD_H_
