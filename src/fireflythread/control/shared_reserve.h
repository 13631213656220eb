#ifndef FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
#define FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// The VMs that a pool keeps, by rack, and how many of them its demand needs.
struct ReservePool {
  int needed = 0;
  /// VMs that the pool keeps; those beyond it are surplus.
  int kept = 0;
  std::map<RackName, int> racks;
};

/// A reserve and the rack whose loss needs it.
struct SharedReserve {
  int vms = 0;
  RackName rack;
};

/// The least number of spare VMs that refill all pools after the loss of any
/// one rack, with the spare VMs in that rack lost as well. `spare` gives the
/// spare VMs by rack; the best of them count as the reserve. When they do not
/// suffice, VMs in racks without any other VM are assumed.
[[nodiscard]] auto PlanSharedReserve(std::vector<ReservePool> pools,
                                     const std::map<RackName, int>& spare)
    -> SharedReserve;

/// Baseline: every pool holds its own reserve for the loss of the rack in which
/// it has the most VMs.
[[nodiscard]] auto PlanStaticReserve(const std::vector<ReservePool>& pools)
    -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_SHARED_RESERVE_H_
