#ifndef FIREFLYTHREAD_TASKS_TASK_RECORD_H_
#define FIREFLYTHREAD_TASKS_TASK_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

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

/// One long task's row in the `task` table. The entry that accepts it writes it
/// in kQueued; any entry cancels it by writing kCancelling; the controller does
/// everything else.
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
  /// Milliseconds since 1970 UTC; older tasks are placed first.
  std::int64_t submitted_at_ms = 0;
  /// The worker that holds the lease; empty while queued.
  VmId worker;
  /// Fencing token; grows by one with each placement.
  std::uint64_t fence = 0;
  /// Length of the worker's lease.
  std::int64_t lease_ms = 0;
  /// Object keys; empty when there is none.
  std::string checkpoint;
  std::string result;
  /// Workers that failed it; each is named once.
  std::vector<VmId> failed_on;
  /// Why it failed or never runs, for operators and callers.
  std::string reason;

  auto operator==(const TaskRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_RECORD_H_
