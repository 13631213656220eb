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

/// Counts a pool's VMs by zone and by rack.
struct PoolSpread {
  int vms = 0;
  std::map<ZoneName, int> zones;
  std::map<RackName, int> racks;
};

using Location = std::pair<ZoneName, RackName>;
/// VMs without a row by rack, each list sorted so that the next VM to adopt is
/// at the back.
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

/// Returns a sort key; the lowest is chosen first. Pools below `min_vms` come
/// first, then the spare pool, then the others. Within each group the pool with
/// the lowest ratio of VMs to `min_vms` comes first, and on a tie the one with
/// the highest priority.
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

/// Removes and returns the next VM of the rack that suits the pool best. Ties
/// go to the rack with the most new VMs left. Otherwise all pools would fill
/// the same racks first and leave whole racks to the spare pool, so that the
/// other pools would be spread over fewer racks.
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
  // A VM that joins the fleet was created or booted just before.
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
