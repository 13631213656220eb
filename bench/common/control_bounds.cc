#include "bench/common/control_bounds.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <numeric>
#include <utility>

namespace fireflythread::bench {
namespace {

constexpr int kInfinity = std::numeric_limits<int>::max() / 4;

/// A flow network with costs; arc i and its reverse i ^ 1.
struct Network {
  struct Arc {
    int to = 0;
    int capacity = 0;
    int cost = 0;
  };
  std::vector<Arc> arcs;
  std::vector<std::vector<int>> leaving;
};

auto AddArc(Network& network, int from, int to, int capacity, int cost)
    -> void {
  const std::size_t nodes = static_cast<std::size_t>(std::max(from, to)) + 1;
  if (network.leaving.size() < nodes) {
    network.leaving.resize(nodes);
  }
  network.leaving[from].push_back(static_cast<int>(network.arcs.size()));
  network.arcs.push_back({to, capacity, cost});
  network.leaving[to].push_back(static_cast<int>(network.arcs.size()));
  network.arcs.push_back({from, 0, -cost});
}

/// Distances by cost from a node, and the arc by which each node is reached.
auto FindPaths(const Network& network, int source)
    -> std::pair<std::vector<int>, std::vector<int>> {
  std::vector<int> distance(network.leaving.size(), kInfinity);
  std::vector<int> via(network.leaving.size(), -1);
  std::vector<bool> queued(network.leaving.size(), false);
  std::deque<int> queue = {source};
  distance[source] = 0;
  while (!queue.empty()) {
    const int node = queue.front();
    queue.pop_front();
    queued[node] = false;
    for (const int index : network.leaving[node]) {
      const Network::Arc& arc = network.arcs[index];
      if (arc.capacity > 0 && distance[node] + arc.cost < distance[arc.to]) {
        distance[arc.to] = distance[node] + arc.cost;
        via[arc.to] = index;
        if (!queued[arc.to]) {
          queued[arc.to] = true;
          queue.push_back(arc.to);
        }
      }
    }
  }
  return {std::move(distance), std::move(via)};
}

struct Flow {
  int amount = 0;
  int cost = 0;
};

/// The largest flow, of least cost, by successive shortest paths.
auto LargestFlow(Network& network, int source, int sink) -> Flow {
  Flow flow;
  while (true) {
    const auto [distance, via] = FindPaths(network, source);
    if (distance[sink] >= kInfinity) {
      return flow;
    }
    int amount = kInfinity;
    for (int node = sink; node != source;
         node = network.arcs[via[node] ^ 1].to) {
      amount = std::min(amount, network.arcs[via[node]].capacity);
    }
    for (int node = sink; node != source;
         node = network.arcs[via[node] ^ 1].to) {
      network.arcs[via[node]].capacity -= amount;
      network.arcs[via[node] ^ 1].capacity += amount;
    }
    flow.amount += amount;
    flow.cost += amount * distance[sink];
  }
}

}  // namespace

auto LeastReserve(const std::vector<int>& rack_sizes, int needed) -> int {
  for (int reserve = 0; reserve <= needed; ++reserve) {
    int usable = 0;
    for (const int vms : rack_sizes) {
      usable += std::min(vms, reserve);
    }
    if (usable >= needed + reserve) {
      return reserve;
    }
  }
  return needed;
}

auto ReserveSurvives(const std::vector<PlacedPool>& pools, int reserve)
    -> bool {
  // Source 0, sink 1, reserve 2; then pools, racks, and pools' shares of racks.
  Network network;
  std::map<std::string, int> racks;
  int next = 3;
  int wanted = reserve;
  AddArc(network, 0, 2, reserve, 0);
  for (const PlacedPool& pool : pools) {
    const int pool_node = next++;
    AddArc(network, 0, pool_node, pool.needed, 0);
    wanted += pool.needed;
    for (const auto& [rack, vms] : pool.racks) {
      const auto [node, added] = racks.try_emplace(rack, next);
      if (added) {
        AddArc(network, next++, 1, reserve, 0);
      }
      const int share = next++;
      AddArc(network, pool_node, share, vms, 0);
      AddArc(network, 2, share, vms, 0);
      AddArc(network, share, node->second, vms, 0);
    }
  }
  return LargestFlow(network, 0, 1).amount == wanted;
}

auto LeastWaveTime(const std::vector<WavePool>& pools,
                   int spare_vms,
                   int reserve,
                   Duration out_time) -> Duration {
  const auto rounds = [](int vms, int at_once) {
    return (vms + std::max(1, at_once) - 1) / std::max(1, at_once);
  };
  int total = spare_vms;
  int free = spare_vms - reserve;
  int most = 0;
  for (const WavePool& pool : pools) {
    total += pool.vms;
    free += pool.vms - pool.needed;
    most = std::max(most, rounds(pool.vms, pool.width));
  }
  return out_time * std::max(most, rounds(total, free));
}

auto FewestMoves(const std::vector<std::vector<int>>& needs,
                 const std::vector<int>& start) -> int {
  // A VM that serves a needed place earns more than any path of moves costs.
  const int pools = static_cast<int>(start.size());
  const int intervals = static_cast<int>(needs.size());
  const int reward = intervals + 2;
  const auto in = [&](int k, int p) { return 2 + 2 * (k * pools + p); };
  Network network;
  int served = 0;
  for (int k = 0; k < intervals; ++k) {
    for (int p = 0; p < pools; ++p) {
      const int need = p < static_cast<int>(needs[k].size()) ? needs[k][p] : 0;
      AddArc(network, in(k, p), in(k, p) + 1, need, -reward);
      AddArc(network, in(k, p), in(k, p) + 1, kInfinity, 0);
      served += need;
      if (k + 1 == intervals) {
        AddArc(network, in(k, p) + 1, 1, kInfinity, 0);
      }
      for (int to = 0; k + 1 < intervals && to < pools; ++to) {
        AddArc(network, in(k, p) + 1, in(k + 1, to), kInfinity,
               p == to ? 0 : 1);
      }
    }
  }
  // VMs may also move before the first interval.
  for (int p = 0; p < pools; ++p) {
    const int first = in(intervals, p);
    AddArc(network, 0, first, start[p], 0);
    for (int to = 0; to < pools; ++to) {
      AddArc(network, first, in(0, to), kInfinity, p == to ? 0 : 1);
    }
  }
  return LargestFlow(network, 0, 1).cost + served * reward;
}

}  // namespace fireflythread::bench
