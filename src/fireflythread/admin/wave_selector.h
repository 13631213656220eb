#ifndef FIREFLYTHREAD_ADMIN_WAVE_SELECTOR_H_
#define FIREFLYTHREAD_ADMIN_WAVE_SELECTOR_H_

#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread::admin {

/// The VMs that a maintenance wave takes: those that are in any of the named
/// zones, racks or pools, and the named VMs. Never empty in a request.
struct WaveSelector {
  std::vector<ZoneName> zones;
  std::vector<RackName> racks;
  std::vector<PoolName> pools;
  std::vector<VmId> vms;

  auto operator==(const WaveSelector&) const -> bool = default;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_WAVE_SELECTOR_H_
