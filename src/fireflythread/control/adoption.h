#ifndef FIREFLYTHREAD_CONTROL_ADOPTION_H_
#define FIREFLYTHREAD_CONTROL_ADOPTION_H_

#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// Gives rows to listed VMs that have none, unless they are leaving. Each goes
/// to the pool with the smallest fill relative to its `min_vms`; when every
/// pool has its minimum, to the spare pool. A pool gets VMs from the zone and
/// then the rack in which it has the fewest. VMs that no pool has room for stay
/// without a row and are reported.
auto AdoptVms(const ControllerInputs& inputs,
              const PoolPolicies& policies,
              FleetDraft& draft,
              ControllerReport& report) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_ADOPTION_H_
