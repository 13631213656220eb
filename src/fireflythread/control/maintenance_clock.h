#ifndef FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
#define FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_

#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"

namespace fireflythread {

/// Whether a moment lies in one of the windows; an empty list is always open.
[[nodiscard]] auto IsWindowOpen(const std::vector<MaintenanceWindow>& windows,
                                WallTime time) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
