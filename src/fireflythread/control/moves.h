#ifndef FIREFLYTHREAD_CONTROL_MOVES_H_
#define FIREFLYTHREAD_CONTROL_MOVES_H_

#include <map>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// What running waves require from the moves between pools.
struct WaveLending {
  /// VMs that each pool should have beyond its need, so that a wave can drain
  /// as many of the pool's VMs at once as `max_unavailable` allows.
  std::map<PoolName, int> extra;
  /// VMs that a wave has not finished yet. Other VMs are lent before these.
  std::set<VmId> remaining;
};

/// Starts moves of serving VMs between pools.
///
/// A pool that has fewer VMs than it needs gets them at once: from the spare
/// pool, then from pools that have more VMs than they need, then from the
/// headroom of pools of lower priority. Pools of higher priority are served
/// first. Pools with a running wave borrow spare VMs, but leave the reserve
/// untouched when buffer weighs more than roll-out; a wave that could otherwise
/// drain no VM may borrow one VM of it. When buffer weighs more than moves,
/// pools return surplus VMs until the spare pool holds the reserve.
auto PlanMoves(const PoolPolicies& policies,
               const ReservePlan& plan,
               const WaveLending& lending,
               FleetSummary& summary,
               FleetDraft& draft,
               ControllerReport& report) -> void;

/// Returns how many VMs of the spare pool waves must leave for the loss of a
/// rack: the reserve when buffer weighs more than roll-out, else 0.
[[nodiscard]] auto ReserveKeptFromWaves(const PoolPolicies& policies,
                                        const ReservePlan& plan) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MOVES_H_
