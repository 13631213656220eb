#ifndef FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
#define FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// The VMs of one pool by rack, and how many of them its demand needs. The
/// others are idle; for the spare pool `needed` is 0.
struct ReservePool {
  int needed = 0;
  std::map<RackName, int> racks;
};

/// The size of the shared reserve and the rack whose loss requires it.
struct SharedReserve {
  int vms = 0;
  RackName rack;
};

/// Returns the smallest number of idle VMs, in any pool, that can replace the
/// VMs of any one lost rack, both those that serve the demand and those of the
/// reserve. Both kinds are placed so that the largest number of them in one
/// rack is as small as possible. When there are too few idle VMs, the result is
/// the number of idle VMs or, if that is more, the largest number of VMs that
/// serve the demand in one rack.
[[nodiscard]] auto PlanSharedReserve(const std::vector<ReservePool>& pools)
    -> SharedReserve;

/// Returns the sum of separate reserves, in which every pool covers the loss of
/// the rack in which it has the most VMs. Benchmarks use it as a baseline.
[[nodiscard]] auto PlanStaticReserve(const std::vector<ReservePool>& pools)
    -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
