#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Time limits of the controller. The defaults suit VMs that reboot within a
/// minute or two.
struct ControllerLimits {
  /// Timeout of a reboot, and again of the health probes after it. A VM that
  /// exceeds one of them is marked as failed.
  Duration reboot_timeout = std::chrono::seconds(180);
  /// How long health probes must succeed before a rebooted VM serves again.
  Duration verify = std::chrono::seconds(1);
  /// How long a VM must be missing from the VM list before it is drained and
  /// removed. The list lags, so it can omit a VM that exists.
  Duration missing_timeout = std::chrono::seconds(5);
  /// How long a drain waits at most for long-running tasks to be checkpointed
  /// and moved.
  Duration task_drain_timeout = std::chrono::seconds(60);
  /// Interval at which a command is repeated until its effect is observed.
  Duration command_interval = std::chrono::seconds(2);
  /// How long a pool keeps VMs after a peak of its need. The time is scaled by
  /// the ratio of the pool's weights for moves and buffer.
  Duration peak_hold = std::chrono::seconds(10);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_
