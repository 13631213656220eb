#ifndef BENCH_COMMON_CONTROL_BOUNDS_H_
#define BENCH_COMMON_CONTROL_BOUNDS_H_

#include <map>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread::bench {

/// The least reserve with full knowledge, for the loss of any one rack: pools
/// and reserve may be placed freely on racks of these sizes. With R reserve VMs
/// a rack may hold at most R used VMs, since the others must replace them.
[[nodiscard]] auto LeastReserve(const std::vector<int>& rack_sizes, int needed)
    -> int;

/// Where the VMs of one pool are, and how many of them are needed.
struct PlacedPool {
  int needed = 0;
  std::map<std::string, int> racks;
};

/// Whether `needed` VMs of each pool and `reserve` other VMs of any pool can be
/// chosen from where they are so that no rack holds more than `reserve` of
/// them. Solved as a maximum flow from pools through racks.
[[nodiscard]] auto ReserveSurvives(const std::vector<PlacedPool>& pools,
                                   int reserve) -> bool;

/// One pool of a wave.
struct WavePool {
  int vms = 0;
  /// VMs that may be out at once by the profile's share.
  int width = 1;
  int needed = 0;
};

/// The least time in which each VM can be out once for `out_time`. No pool may
/// have more out than its width, nor all pools together more than the VMs that
/// demand and reserve leave over; VMs may be lent between pools at no cost.
[[nodiscard]] auto LeastWaveTime(const std::vector<WavePool>& pools,
                                 int spare_vms,
                                 int reserve,
                                 Duration out_time) -> Duration;

/// The fewest moves between pools that give pool p at least needs[k][p] VMs in
/// every interval k, from a given start. The last pool is the spare pool.
/// Solved as a minimum cost flow of VMs over time.
[[nodiscard]] auto FewestMoves(const std::vector<std::vector<int>>& needs,
                               const std::vector<int>& start) -> int;

}  // namespace fireflythread::bench

#endif  // BENCH_COMMON_CONTROL_BOUNDS_H_
