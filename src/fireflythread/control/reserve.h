#ifndef FIREFLYTHREAD_CONTROL_RESERVE_H_
#define FIREFLYTHREAD_CONTROL_RESERVE_H_

#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// What one pool needs.
struct PoolNeed {
  /// VMs for the demand without and with headroom, now.
  int needed_without_headroom = 0;
  int needed = 0;
  /// The largest `needed` of the recent past.
  int peak = 0;
  /// VMs that the pool keeps: `held` within the pool's bounds, as far as the
  /// shared reserve covers what pools hold beyond their need. Of the spare
  /// pool, the shared reserve.
  int target = 0;
};

/// The need of every pool and the shared reserve.
struct ReservePlan {
  std::map<PoolName, PoolNeed> pools;
  /// Idle VMs kept for the loss of one rack, in the spare pool or elsewhere.
  int reserve = 0;
  /// The rack whose loss needs the reserve.
  RackName limiting_rack;
};

/// Plans with the demand of the inputs; keeps peaks in `memory`. A pool holds a
/// passed peak longer the more its moves weigh against its buffer.
[[nodiscard]] auto PlanReserve(const ControllerInputs& inputs,
                               const PoolPolicies& policies,
                               const FleetSummary& summary,
                               ControllerMemory& memory) -> ReservePlan;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_RESERVE_H_
