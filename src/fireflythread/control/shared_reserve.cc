#include "fireflythread/control/shared_reserve.h"

#include <algorithm>
#include <cstddef>

namespace fireflythread {
namespace {

/// VMs of one pool in one rack, and how many of them serve the demand.
struct RackShare {
  std::size_t rack = 0;
  int vms = 0;
  int used = 0;
};

/// The choice of the VMs that serve the demand, with racks as indices.
struct Choice {
  std::vector<RackName> names;
  /// VMs in use by rack, over all pools.
  std::vector<int> used;
  std::vector<int> idle;
  std::vector<std::vector<RackShare>> pools;
};

auto MakeChoice(const std::vector<ReservePool>& pools) -> Choice {
  Choice choice;
  std::map<RackName, std::size_t> indices;
  for (const ReservePool& pool : pools) {
    std::vector<RackShare>& shares = choice.pools.emplace_back();
    for (const auto& [rack, vms] : pool.racks) {
      const auto [index, added] = indices.try_emplace(rack, indices.size());
      if (added) {
        choice.names.push_back(rack);
      }
      shares.push_back({index->second, vms, 0});
    }
  }
  choice.used.resize(indices.size());
  choice.idle.resize(indices.size());
  return choice;
}

/// Uses VMs of a pool one by one in the rack with the fewest VMs in use.
auto UseVms(Choice& choice, std::vector<RackShare>& shares, int needed)
    -> void {
  for (; needed > 0; --needed) {
    RackShare* best = nullptr;
    for (RackShare& share : shares) {
      if (share.used < share.vms &&
          (best == nullptr ||
           choice.used[share.rack] < choice.used[best->rack])) {
        best = &share;
      }
    }
    if (best == nullptr) {
      return;
    }
    ++best->used;
    ++choice.used[best->rack];
  }
}

/// Replaces one VM in use in the rack by an idle one of the same pool in a rack
/// with at least two fewer in use.
auto Relieve(Choice& choice, std::size_t rack) -> bool {
  for (std::vector<RackShare>& shares : choice.pools) {
    const auto from = std::find_if(
        shares.begin(), shares.end(), [rack](const RackShare& share) {
          return share.rack == rack && share.used > 0;
        });
    if (from == shares.end()) {
      continue;
    }
    const auto to =
        std::find_if(shares.begin(), shares.end(), [&](const RackShare& share) {
          return share.used < share.vms &&
                 choice.used[share.rack] + 2 <= choice.used[rack];
        });
    if (to != shares.end()) {
      --from->used;
      ++to->used;
      --choice.used[rack];
      ++choice.used[to->rack];
      return true;
    }
  }
  return false;
}

/// Evens out the racks with the most VMs in use.
auto Balance(Choice& choice) -> void {
  bool changed = true;
  while (changed) {
    changed = false;
    const int most = *std::max_element(choice.used.begin(), choice.used.end());
    for (std::size_t rack = 0; rack < choice.used.size(); ++rack) {
      if (choice.used[rack] == most && !Relieve(choice, rack)) {
        // This rack stays at the maximum, so the others need not be relieved.
        return;
      }
      changed = true;
    }
  }
}

/// Pools with the least choice go first.
auto OrderByIdle(const std::vector<ReservePool>& pools)
    -> std::vector<std::size_t> {
  std::vector<std::pair<int, std::size_t>> idle;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    int vms = -pools[i].needed;
    for (const auto& [rack, count] : pools[i].racks) {
      vms += count;
    }
    idle.emplace_back(vms, i);
  }
  std::sort(idle.begin(), idle.end());
  std::vector<std::size_t> order;
  order.reserve(idle.size());
  for (const auto& [vms, index] : idle) {
    order.push_back(index);
  }
  return order;
}

auto CountIdle(Choice& choice) -> int {
  int total = 0;
  for (const std::vector<RackShare>& shares : choice.pools) {
    for (const RackShare& share : shares) {
      choice.idle[share.rack] += share.vms - share.used;
      total += share.vms - share.used;
    }
  }
  return total;
}

/// Whether `vms` idle VMs can be chosen so that no rack holds more than `vms`
/// used or chosen ones: after its loss the others replace them.
auto Suffices(const Choice& choice, int vms) -> bool {
  int usable = 0;
  for (std::size_t rack = 0; rack < choice.used.size(); ++rack) {
    usable += std::clamp(vms - choice.used[rack], 0, choice.idle[rack]);
  }
  return usable >= vms;
}

}  // namespace

auto PlanSharedReserve(const std::vector<ReservePool>& pools) -> SharedReserve {
  Choice choice = MakeChoice(pools);
  if (choice.used.empty()) {
    return {};
  }
  for (const std::size_t pool : OrderByIdle(pools)) {
    UseVms(choice, choice.pools[pool], pools[pool].needed);
  }
  Balance(choice);
  const int idle = CountIdle(choice);
  const auto most = std::max_element(choice.used.begin(), choice.used.end());
  SharedReserve reserve{
      *most,
      choice.names[static_cast<std::size_t>(most - choice.used.begin())]};
  while (reserve.vms < idle && !Suffices(choice, reserve.vms)) {
    ++reserve.vms;
  }
  return reserve;
}

auto PlanStaticReserve(const std::vector<ReservePool>& pools) -> int {
  int total = 0;
  for (const ReservePool& pool : pools) {
    int largest = 0;
    for (const auto& [rack, vms] : pool.racks) {
      largest = std::max(largest, vms);
    }
    total += std::min(largest, pool.needed);
  }
  return total;
}

}  // namespace fireflythread
