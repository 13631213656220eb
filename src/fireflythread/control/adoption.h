#ifndef FIREFLYTHREAD_CONTROL_ADOPTION_H_
#define FIREFLYTHREAD_CONTROL_ADOPTION_H_

#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// Creates rows for listed VMs that have none, unless they are leaving. Each VM
/// is assigned to the pool that is least full relative to its `min_vms`; once
/// every pool has its minimum, to the spare pool. A pool gets VMs from the zone
/// and then the rack in which it has the fewest. When every pool has `max_vms`,
/// the remaining VMs get no row, and one of them is reported.
auto AdoptVms(const ControllerInputs& inputs,
              const PoolPolicies& policies,
              FleetDraft& draft,
              ControllerReport& report) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_ADOPTION_H_
