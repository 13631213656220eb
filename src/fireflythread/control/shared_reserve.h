#ifndef FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
#define FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// The VMs of one pool by rack, and how many of them its demand needs. The
/// others are idle; the spare pool needs none.
struct ReservePool {
  int needed = 0;
  std::map<RackName, int> racks;
};

/// A reserve and the rack whose loss needs it.
struct SharedReserve {
  int vms = 0;
  RackName rack;
};

/// The least number of idle VMs, in any pool, that refill all pools after the
/// loss of any one rack, the idle VMs in that rack included. The VMs that serve
/// the demand and those that count as the reserve are chosen so that no rack
/// holds many of them. When there are too few idle VMs, the result is what the
/// largest loss needs.
[[nodiscard]] auto PlanSharedReserve(const std::vector<ReservePool>& pools)
    -> SharedReserve;

/// Baseline: every pool holds its own reserve for the loss of the rack in which
/// it has the most VMs.
[[nodiscard]] auto PlanStaticReserve(const std::vector<ReservePool>& pools)
    -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
