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

/// How a search for a chain of replacements reached each rack: from which rack,
/// by which pool. The first rack is reached from itself.
struct Search {
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

/// Adds the racks in which a pool that uses a VM in `rack` has idle VMs.
auto Expand(Choice& choice,
            std::size_t rack,
            Search& search,
            std::vector<std::size_t>& queue) -> void {
  for (std::size_t pool = 0; pool < choice.pools.size(); ++pool) {
    if (search.pool_seen[pool]) {
      continue;
    }
    const RackShare* share = FindShare(choice.pools[pool], rack);
    if (share == nullptr || share->used == 0) {
      continue;
    }
    search.pool_seen[pool] = true;
    for (const RackShare& to : choice.pools[pool]) {
      if (to.used < to.vms && search.from[to.rack] == kNotReached) {
        search.from[to.rack] = rack;
        search.pool[to.rack] = pool;
        queue.push_back(to.rack);
      }
    }
  }
}

/// Replaces the VMs in use along the chain that ends in the rack.
auto Replace(Choice& choice, const Search& search, std::size_t rack) -> void {
  while (search.from[rack] != rack) {
    std::vector<RackShare>& shares = choice.pools[search.pool[rack]];
    ++FindShare(shares, rack)->used;
    ++choice.used[rack];
    rack = search.from[rack];
    --FindShare(shares, rack)->used;
    --choice.used[rack];
  }
}

/// Takes one VM in use off the rack and uses one more in a rack with at least
/// two fewer in use, over as many pools and racks in between as it takes. A
/// direct replacement alone misses the optimum where a pool has no idle VM in
/// such a rack. The chain is a shortest one, so a pool occurs in it only once.
auto Relieve(Choice& choice, std::size_t rack) -> bool {
  Search search{std::vector<std::size_t>(choice.used.size(), kNotReached),
                std::vector<std::size_t>(choice.used.size()),
                std::vector<bool>(choice.pools.size())};
  search.from[rack] = rack;
  std::vector<std::size_t> queue = {rack};
  for (std::size_t next = 0; next < queue.size(); ++next) {
    const std::size_t reached = queue[next];
    if (choice.used[reached] + 2 <= choice.used[rack]) {
      Replace(choice, search, reached);
      return true;
    }
    Expand(choice, reached, search, queue);
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
