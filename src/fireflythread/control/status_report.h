#ifndef FIREFLYTHREAD_CONTROL_STATUS_REPORT_H_
#define FIREFLYTHREAD_CONTROL_STATUS_REPORT_H_

#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// Fills the pools, waves and ejected workers of the report.
auto FillReport(const ControllerInputs& inputs,
                const ControllerMemory& memory,
                const PoolPolicies& policies,
                const ReservePlan& plan,
                const FleetSummary& summary,
                const FleetDraft& draft,
                ControllerReport& report) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_STATUS_REPORT_H_
