#include "fireflythread/daemon/wave_selection.h"

#include <algorithm>

#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

template <typename Name>
auto Contains(const std::vector<Name>& names, const Name& name) -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto IsSelected(const admin::WaveSelector& selector, const VmRecord& vm)
    -> bool {
  return Contains(selector.zones, vm.zone) ||
         Contains(selector.racks, vm.rack) ||
         Contains(selector.pools, vm.pool) || Contains(selector.vms, vm.id);
}

}  // namespace

auto ToWaveSelector(const admin::WaveSelector& selector, const FleetView& fleet)
    -> WaveSelector {
  const std::size_t names = selector.zones.size() + selector.racks.size() +
                            selector.pools.size() + selector.vms.size();
  if (names == 1 && selector.zones.size() == 1) {
    return {WaveSelectorKind::kZone, selector.zones.front().value, {}};
  }
  if (names == 1 && selector.racks.size() == 1) {
    return {WaveSelectorKind::kRack, selector.racks.front().value, {}};
  }
  if (names == 1 && selector.pools.size() == 1) {
    return {WaveSelectorKind::kPool, selector.pools.front().value, {}};
  }
  WaveSelector result;
  result.kind = WaveSelectorKind::kVms;
  for (const auto& [id, vm] : fleet.vms) {
    if (IsSelected(selector, vm)) {
      result.vms.push_back(id);
    }
  }
  return result;
}

auto ToAdminSelector(const WaveSelector& selector) -> admin::WaveSelector {
  admin::WaveSelector result;
  switch (selector.kind) {
    case WaveSelectorKind::kAll:
      break;
    case WaveSelectorKind::kZone:
      result.zones.emplace_back(selector.name);
      break;
    case WaveSelectorKind::kRack:
      result.racks.emplace_back(selector.name);
      break;
    case WaveSelectorKind::kPool:
      result.pools.emplace_back(selector.name);
      break;
    case WaveSelectorKind::kVms:
      result.vms = selector.vms;
      break;
  }
  return result;
}

}  // namespace fireflythread
