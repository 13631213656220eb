#ifndef FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_
#define FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_

#include <optional>
#include <string_view>

#include "fireflythread/base/time.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// The author of the waves that the controller declares by itself.
inline constexpr std::string_view kScheduleAuthor = "schedule";

/// The end of the VM's maintenance interval; no value when its pool has none.
[[nodiscard]] auto MaintenanceDeadline(const VmRecord& record,
                                       const PoolPolicies& policies)
    -> std::optional<WallTime>;

/// VMs whose interval has passed.
[[nodiscard]] auto CountOverdue(const FleetView& fleet,
                                const PoolPolicies& policies,
                                WallTime now) -> int;

/// Declares a wave over the VMs that are due in one rack, the one with the
/// earliest deadline, when no wave is under way. A VM is due in the last
/// quarter of its interval, while its pool's maintenance windows are open, so
/// that closed windows, used up budgets and waves of operators can delay it.
auto DeclareDueWave(const ControllerInputs& inputs,
                    const PoolPolicies& policies,
                    FleetDraft& draft) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_
