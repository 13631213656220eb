#ifndef FIREFLYTHREAD_FLEET_FLEET_VIEW_H_
#define FIREFLYTHREAD_FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/fleet/vm_record.h"

namespace fireflythread {

/// All VMs of a cell at one version of the `fleet/head` row.
struct FleetView {
  std::uint64_t version = 0;
  std::map<VmId, VmRecord> vms;

  auto operator==(const FleetView&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_FLEET_VIEW_H_
