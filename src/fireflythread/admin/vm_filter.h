#ifndef FIREFLYTHREAD_ADMIN_VM_FILTER_H_
#define FIREFLYTHREAD_ADMIN_VM_FILTER_H_

#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/fleet/vm_state.h"

namespace fireflythread::admin {

/// Which VMs to list; a field without value does not narrow the list.
struct VmFilter {
  std::optional<PoolName> pool;
  std::optional<ZoneName> zone;
  std::optional<RackName> rack;
  std::optional<VmState> state;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_VM_FILTER_H_
