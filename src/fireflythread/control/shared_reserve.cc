#include "fireflythread/control/shared_reserve.h"

#include <algorithm>
#include <cstddef>

namespace fireflythread {
namespace {

/// The VMs of one pool in one rack, and how many of them serve the demand.
struct RackShare {
  std::size_t rack = 0;
  int vms = 0;
  int used = 0;
};

/// The placement of the demand on VMs. Racks are represented by indices into
/// `names`, `used` and `idle`.
struct DemandPlacement {
  std::vector<RackName> names;
  /// VMs that serve the demand by rack, over all pools.
  std::vector<int> used;
  std::vector<int> idle;
  std::vector<std::vector<RackShare>> pools;
};

auto MakeDemandPlacement(const std::vector<ReservePool>& pools)
    -> DemandPlacement {
  DemandPlacement placement;
  std::map<RackName, std::size_t> indices;
  for (const ReservePool& pool : pools) {
    std::vector<RackShare>& shares = placement.pools.emplace_back();
    for (const auto& [rack, vms] : pool.racks) {
      const auto [index, added] = indices.try_emplace(rack, indices.size());
      if (added) {
        placement.names.push_back(rack);
      }
      shares.push_back({index->second, vms, 0});
    }
  }
  placement.used.resize(indices.size());
  placement.idle.resize(indices.size());
  return placement;
}

/// Places the demand of a pool on its VMs, one by one, each time in the rack
/// with the fewest VMs in use.
auto PlaceDemand(DemandPlacement& placement,
                 std::vector<RackShare>& shares,
                 int needed) -> void {
  for (; needed > 0; --needed) {
    RackShare* best = nullptr;
    for (RackShare& share : shares) {
      if (share.used < share.vms &&
          (best == nullptr ||
           placement.used[share.rack] < placement.used[best->rack])) {
        best = &share;
      }
    }
    if (best == nullptr) {
      return;
    }
    ++best->used;
    ++placement.used[best->rack];
  }
}

/// State of a breadth-first search for a chain of replacements. For each rack
/// reached, `from` and `pool` are the rack and the pool by which it was
/// reached; the first rack is reached from itself.
struct ReplacementSearch {
  std::vector<std::size_t> from;
  std::vector<std::size_t> pool;
  std::vector<bool> pool_seen;
};

constexpr std::size_t kNotReached = static_cast<std::size_t>(-1);

auto FindShare(std::vector<RackShare>& shares, std::size_t rack) -> RackShare* {
  const auto found =
      std::find_if(shares.begin(), shares.end(),
                   [rack](const auto& share) { return share.rack == rack; });
  return found == shares.end() ? nullptr : &*found;
}

/// Adds to the queue the racks that are reachable from `rack`: those in which a
/// pool that uses a VM in `rack` has idle VMs.
auto ExpandSearch(DemandPlacement& placement,
                  std::size_t rack,
                  ReplacementSearch& search,
                  std::vector<std::size_t>& queue) -> void {
  for (std::size_t pool = 0; pool < placement.pools.size(); ++pool) {
    if (search.pool_seen[pool]) {
      continue;
    }
    const RackShare* share = FindShare(placement.pools[pool], rack);
    if (share == nullptr || share->used == 0) {
      continue;
    }
    search.pool_seen[pool] = true;
    for (const RackShare& to : placement.pools[pool]) {
      if (to.used < to.vms && search.from[to.rack] == kNotReached) {
        search.from[to.rack] = rack;
        search.pool[to.rack] = pool;
        queue.push_back(to.rack);
      }
    }
  }
}

/// Applies the chain of replacements that ends in `rack`: each pool on it uses
/// one VM less in one rack and one more in the next.
auto ApplyReplacements(DemandPlacement& placement,
                       const ReplacementSearch& search,
                       std::size_t rack) -> void {
  while (search.from[rack] != rack) {
    std::vector<RackShare>& shares = placement.pools[search.pool[rack]];
    ++FindShare(shares, rack)->used;
    ++placement.used[rack];
    rack = search.from[rack];
    --FindShare(shares, rack)->used;
    --placement.used[rack];
  }
}

/// Reduces the VMs in use in `rack` by one and increases them in a rack that
/// has at least two fewer, through a chain of replacements over other pools and
/// racks. Returns false when there is no such chain. Direct replacements alone
/// would miss the optimum when a pool has no idle VM in such a rack. The search
/// finds a shortest chain, so each pool occurs in it only once.
auto ReduceRackUsage(DemandPlacement& placement, std::size_t rack) -> bool {
  ReplacementSearch search{
      std::vector<std::size_t>(placement.used.size(), kNotReached),
      std::vector<std::size_t>(placement.used.size()),
      std::vector<bool>(placement.pools.size())};
  search.from[rack] = rack;
  std::vector<std::size_t> queue = {rack};
  for (std::size_t next = 0; next < queue.size(); ++next) {
    const std::size_t reached = queue[next];
    if (placement.used[reached] + 2 <= placement.used[rack]) {
      ApplyReplacements(placement, search, reached);
      return true;
    }
    ExpandSearch(placement, reached, search, queue);
  }
  return false;
}

/// Minimizes the largest number of VMs in use in one rack.
auto BalanceRacks(DemandPlacement& placement) -> void {
  bool changed = true;
  while (changed) {
    changed = false;
    const int max_used =
        *std::max_element(placement.used.begin(), placement.used.end());
    for (std::size_t rack = 0; rack < placement.used.size(); ++rack) {
      if (placement.used[rack] == max_used &&
          !ReduceRackUsage(placement, rack)) {
        // This rack keeps the maximum, so reducing others would not lower it.
        return;
      }
      changed = true;
    }
  }
}

/// Returns the indices of the pools, those with the fewest idle VMs first,
/// because they have the fewest alternatives.
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

auto CountIdle(DemandPlacement& placement) -> int {
  int total = 0;
  for (const std::vector<RackShare>& shares : placement.pools) {
    for (const RackShare& share : shares) {
      placement.idle[share.rack] += share.vms - share.used;
      total += share.vms - share.used;
    }
  }
  return total;
}

/// Returns whether `vms` idle VMs can be chosen as the reserve so that no rack
/// has more than `vms` VMs that are in use or reserved. The reserve then covers
/// the loss of any one rack.
auto IsSufficient(const DemandPlacement& placement, int vms) -> bool {
  int usable = 0;
  for (std::size_t rack = 0; rack < placement.used.size(); ++rack) {
    usable += std::clamp(vms - placement.used[rack], 0, placement.idle[rack]);
  }
  return usable >= vms;
}

}  // namespace

auto PlanSharedReserve(const std::vector<ReservePool>& pools) -> SharedReserve {
  DemandPlacement placement = MakeDemandPlacement(pools);
  if (placement.used.empty()) {
    return {};
  }
  for (const std::size_t pool : OrderByIdle(pools)) {
    PlaceDemand(placement, placement.pools[pool], pools[pool].needed);
  }
  BalanceRacks(placement);
  const int idle = CountIdle(placement);
  const auto max_used =
      std::max_element(placement.used.begin(), placement.used.end());
  SharedReserve reserve{*max_used, placement.names[static_cast<std::size_t>(
                                       max_used - placement.used.begin())]};
  while (reserve.vms < idle && !IsSufficient(placement, reserve.vms)) {
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
