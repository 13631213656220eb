#ifndef FIREFLYTHREAD_DUTIES_POOL_SUPPLY_H_
#define FIREFLYTHREAD_DUTIES_POOL_SUPPLY_H_

#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/duties/duty_state.h"
#include "fireflythread/duties/machine_view.h"

namespace fireflythread {

/// A pool's VMs at one step.
struct PoolSupply {
  /// VMs of the pool, including those that move to it and excluding those that
  /// move away.
  int vms = 0;
  /// VMs in upkeep, or drained for it.
  int upkeeps = 0;
  /// VMs that leave for the spare pool.
  int returning = 0;
  /// VMs of each part, by its index: those with a worker that stays.
  std::vector<int> parts;
  /// Of these, the VMs whose workers the part's owner hadn't listed when it
  /// published its load.
  std::vector<int> unlisted;
};

using PoolSupplies = std::map<ServiceName, PoolSupply>;

/// Returns the number of VMs that are on their way to a pool. Which part each
/// one will belong to is not known before its worker is.
[[nodiscard]] auto CountArriving(const PoolSupply& supply) -> int;

/// Counts the VMs of all pools at once, as the list of VMs is long.
[[nodiscard]] auto CountSupplies(const DutyState& state) -> PoolSupplies;

/// Returns the number of parts of a pool.
[[nodiscard]] auto PartCount(const DutyState& state, const ServiceName& pool)
    -> int;

/// Returns the number of VMs of the part that a VM's worker belongs to.
[[nodiscard]] auto PartSupplyOf(PoolSupply& supply, const MachineView& machine)
    -> int&;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_POOL_SUPPLY_H_
