#ifndef FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_
#define FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_

#include <optional>
#include <string_view>

#include "fireflythread/base/time.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Value of `declared_by` in the waves that the controller itself declares.
inline constexpr std::string_view kScheduleAuthor = "schedule";

/// Returns the end of the VM's maintenance interval; no value when its pool has
/// no interval.
[[nodiscard]] auto MaintenanceDeadline(const VmRecord& record,
                                       const PoolPolicies& policies)
    -> std::optional<WallTime>;

/// Returns the number of VMs whose maintenance deadline has passed.
[[nodiscard]] auto CountOverdue(const FleetView& fleet,
                                const PoolPolicies& policies,
                                WallTime now) -> int;

/// Declares a wave over the due VMs of the rack with the earliest deadline,
/// unless a wave is declared or running. A VM is due in the last quarter of its
/// interval while its pool's maintenance windows are open. The quarter leaves
/// time for delays by closed windows, exhausted budgets and operators' waves.
auto DeclareDueWave(const ControllerInputs& inputs,
                    const PoolPolicies& policies,
                    FleetDraft& draft) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MAINTENANCE_SCHEDULE_H_
