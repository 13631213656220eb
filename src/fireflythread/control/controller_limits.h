#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Time limits of the controller. The defaults suit VMs that reboot within a
/// minute or two.
struct ControllerLimits {
  /// A VM that does not show its reboot, or does not answer afterwards, within
  /// this time is failed.
  Duration reboot_timeout = std::chrono::seconds(180);
  /// Health probes must succeed for this long before a VM serves again.
  Duration verify = std::chrono::seconds(1);
  /// A VM missing from the VM list for this long is removed. The list lags.
  Duration missing_timeout = std::chrono::seconds(5);
  /// How long a drain waits for long tasks to be checkpointed and moved.
  Duration task_drain_timeout = std::chrono::seconds(60);
  /// A command is repeated after this time while its effect is not seen.
  Duration command_interval = std::chrono::seconds(2);
  /// How long a pool keeps VMs for a peak that has passed, at equal weights of
  /// buffer and moves.
  Duration peak_hold = std::chrono::seconds(10);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_LIMITS_H_
