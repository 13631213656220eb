#include "fireflythread/control/adoption.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

/// Where a pool's VMs are.
struct PoolSpread {
  int vms = 0;
  std::map<ZoneName, int> zones;
  std::map<RackName, int> racks;
};

using Location = std::pair<ZoneName, RackName>;
/// New VMs of each rack, the next one to adopt at the back.
using NewVms = std::map<Location, std::vector<const ListedVm*>>;

auto AddTo(PoolSpread& spread, const ZoneName& zone, const RackName& rack)
    -> void {
  ++spread.vms;
  ++spread.zones[zone];
  ++spread.racks[rack];
}

auto CountSpreads(const FleetView& fleet) -> std::map<PoolName, PoolSpread> {
  std::map<PoolName, PoolSpread> spreads;
  for (const auto& [vm, record] : fleet.vms) {
    const PoolName& pool =
        record.next_pool.empty() ? record.pool : record.next_pool;
    AddTo(spreads[pool], record.zone, record.rack);
  }
  return spreads;
}

auto FindNewVms(const ControllerInputs& inputs) -> NewVms {
  NewVms found;
  for (const ListedVm& vm : *inputs.vm_list) {
    if (!vm.leaving && !vm.id.empty() && !inputs.fleet->vms.contains(vm.id)) {
      found[{vm.zone, vm.rack}].push_back(&vm);
    }
  }
  for (auto& [location, vms] : found) {
    std::sort(vms.begin(), vms.end(),
              [](const ListedVm* left, const ListedVm* right) {
                return left->id > right->id;
              });
  }
  return found;
}

/// Orders pools: those below their minimum first by fill, then the spare pool,
/// then the others by fill.
auto AdoptionRank(const PoolPolicy& policy, int vms)
    -> std::tuple<int, double, int> {
  const double fill = static_cast<double>(vms) / std::max(1, policy.min_vms);
  if (!policy.spare && vms < policy.min_vms) {
    return {0, fill, -policy.priority};
  }
  return {policy.spare ? 1 : 2, fill, -policy.priority};
}

auto PickPool(const PoolPolicies& policies,
              std::map<PoolName, PoolSpread>& spreads) -> const PoolPolicy* {
  const PoolPolicy* best = nullptr;
  std::tuple<int, double, int> best_rank;
  for (const auto& [name, policy] : policies) {
    const int vms = spreads[name].vms;
    if (vms >= policy.max_vms) {
      continue;
    }
    const auto rank = AdoptionRank(policy, vms);
    if (best == nullptr || rank < best_rank) {
      best = &policy;
      best_rank = rank;
    }
  }
  return best;
}

/// Of racks that suit the pool equally, takes the one with the most VMs left.
/// Otherwise every pool fills the same racks first and the spare pool gets
/// whole racks, which the other pools cannot use for an even spread.
auto PickVm(NewVms& new_vms, PoolSpread& spread) -> const ListedVm* {
  auto best = new_vms.end();
  std::tuple<int, int, int> best_rank;
  for (auto it = new_vms.begin(); it != new_vms.end(); ++it) {
    const std::tuple<int, int, int> rank = {
        spread.zones[it->first.first], spread.racks[it->first.second],
        -static_cast<int>(it->second.size())};
    if (best == new_vms.end() || rank < best_rank) {
      best = it;
      best_rank = rank;
    }
  }
  const ListedVm* vm = best->second.back();
  best->second.pop_back();
  if (best->second.empty()) {
    new_vms.erase(best);
  }
  return vm;
}

auto MakeRecord(const ListedVm& vm, const PoolName& pool, WallTime now)
    -> VmRecord {
  VmRecord record;
  record.id = vm.id;
  record.pool = pool;
  record.address = vm.address;
  record.zone = vm.zone;
  record.rack = vm.rack;
  record.cores = vm.cores;
  record.memory_mb = vm.memory_mb;
  record.accelerators = vm.accelerators;
  // A VM that joins has just been made or booted.
  record.maintained_at = std::chrono::floor<std::chrono::milliseconds>(now);
  return record;
}

}  // namespace

auto AdoptVms(const ControllerInputs& inputs,
              const PoolPolicies& policies,
              FleetDraft& draft,
              ControllerReport& report) -> void {
  if (!inputs.vm_list.has_value()) {
    return;
  }
  NewVms new_vms = FindNewVms(inputs);
  if (new_vms.empty()) {
    return;
  }
  std::map<PoolName, PoolSpread> spreads = CountSpreads(*inputs.fleet);
  while (!new_vms.empty()) {
    const PoolPolicy* policy = PickPool(policies, spreads);
    if (policy == nullptr) {
      report.failed.push_back(
          {new_vms.begin()->second.back()->id, "no pool has room for the VM"});
      return;
    }
    PoolSpread& spread = spreads[policy->name];
    const ListedVm* vm = PickVm(new_vms, spread);
    if (!CanChange(draft, vm->id)) {
      return;
    }
    AddTo(spread, vm->zone, vm->rack);
    AddVm(draft, MakeRecord(*vm, policy->name, inputs.wall_time));
  }
}

}  // namespace fireflythread
