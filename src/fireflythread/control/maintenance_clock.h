#ifndef FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
#define FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_

#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"

namespace fireflythread {

/// Returns whether one of the windows is open at `time`. An empty list means
/// that maintenance is always allowed.
[[nodiscard]] auto IsWindowOpen(const std::vector<MaintenanceWindow>& windows,
                                WallTime time) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MAINTENANCE_CLOCK_H_
