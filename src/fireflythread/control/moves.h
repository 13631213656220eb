#ifndef FIREFLYTHREAD_CONTROL_MOVES_H_
#define FIREFLYTHREAD_CONTROL_MOVES_H_

#include <map>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread {

/// What running waves ask of the moves.
struct WaveLending {
  /// VMs that each pool should have beyond its need, so that its wave may
  /// proceed at the pool's full width.
  std::map<PoolName, int> extra;
  /// VMs that a wave has still to take; others are lent first.
  std::set<VmId> remaining;
};

/// Starts moves between pools; at most the summary's serving VMs.
///
/// A pool that has fewer VMs than it needs gets them at once: from the spare
/// pool, then from pools that have more than they keep, then from the headroom
/// of pools of lower priority. Pools of higher priority come first. Pools with
/// a running wave borrow spare VMs, but leave the reserve alone when buffer
/// weighs more than roll-out. Surplus returns to the spare pool when the
/// reserve is short, or when buffer weighs more than moves and the surplus
/// makes a batch.
auto PlanMoves(const PoolPolicies& policies,
               const ReservePlan& plan,
               const WaveLending& lending,
               FleetSummary& summary,
               FleetDraft& draft,
               ControllerReport& report) -> void;

/// VMs of the spare pool that waves must leave for losses.
[[nodiscard]] auto ReserveKeptFromWaves(const PoolPolicies& policies,
                                        const ReservePlan& plan) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_MOVES_H_
