#ifndef FIREFLYTHREAD_DAEMON_STATE_TASK_POLL_H_
#define FIREFLYTHREAD_DAEMON_STATE_TASK_POLL_H_

#include <functional>
#include <optional>
#include <variant>

#include "fireflythread/daemon/state_task.h"
#include "fireflythread/platform/platform_error.h"
#include "fireflythread/platform/scan_result.h"

namespace fireflythread {

/// One poll of the store: both tables, read by questions sent together.
struct StateTask::Poll {
  TimePoint sent_at;
  std::optional<std::variant<ScanResult, PlatformError>> config;
  std::optional<std::variant<ScanResult, PlatformError>> fleet;
};

/// Someone who waits until a configuration version is accepted.
struct StateTask::AcceptanceWaiter {
  AcceptanceWatch watch;
  TimePoint deadline;
  std::function<void(bool)> callback;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_STATE_TASK_POLL_H_
