#ifndef FIREFLYTHREAD_CONTROL_RESERVE_H_
#define FIREFLYTHREAD_CONTROL_RESERVE_H_

#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// The number of VMs that one pool needs.
struct PoolNeed {
  /// VMs for the current demand, without and with headroom.
  int needed_without_headroom = 0;
  int needed = 0;
  /// The recent peak of `needed`.
  int peak = 0;
  /// VMs that the pool keeps: the peak, limited to the pool's `min_vms` and
  /// `max_vms` and by LimitPeakSurplus. For the spare pool, the shared reserve.
  int target = 0;
};

/// The needs of all pools and the shared reserve.
struct ReservePlan {
  std::map<PoolName, PoolNeed> pools;
  /// Number of idle VMs, in any pool, that replace the VMs of one lost rack.
  int reserve = 0;
  /// The rack whose loss requires the largest reserve.
  RackName limiting_rack;
};

/// Computes the needs and the reserve from the current demand and updates the
/// peaks in `memory`. The higher a pool's weight for moves is relative to that
/// for buffer, the longer it keeps VMs for a peak.
[[nodiscard]] auto PlanReserve(const ControllerInputs& inputs,
                               const PoolPolicies& policies,
                               const FleetSummary& summary,
                               ControllerMemory& memory) -> ReservePlan;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_RESERVE_H_
