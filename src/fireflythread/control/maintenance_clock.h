#ifndef FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
#define FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_

#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"

namespace fireflythread {

/// Whether a moment lies in one of the windows; an empty list is always open.
[[nodiscard]] auto IsWindowOpen(const std::vector<MaintenanceWindow>& windows,
                                WallTime time) -> bool;

/// Time until the windows are open, in whole minutes; 0 when they are open.
/// Searches the coming eight days and gives that span when none opens.
[[nodiscard]] auto TimeUntilOpen(const std::vector<MaintenanceWindow>& windows,
                                 WallTime time) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
