#ifndef BENCH_COMMON_CONTROL_SITES_H_
#define BENCH_COMMON_CONTROL_SITES_H_

#include <string>
#include <vector>

#include "bench/common/control_cell.h"

namespace fireflythread::bench {

/// The three weights of a profile.
struct Weights {
  double buffer = 1;
  double rollout = 1;
  double moves = 1;
};

/// The deployment "Kootenay" gives roll-out time the highest weight, "Split"
/// gives it to buffer cost.
inline constexpr Weights kKootenayWeights{1, 3, 1};
inline constexpr Weights kSplitWeights{3, 1, 1};

/// What a virtual site is made of.
struct Site {
  std::string name;
  int vms = 50;
  int rack_size = 4;
  int zones = 3;
  /// Service pools, without the spare pool.
  int pools = 4;
  int entries = 8;
  /// VMs that each service pool starts with.
  int pool_vms = 10;
  Weights weights;
};

/// The two deployments of docs/design.md 1.5 and one cell of the target size.
[[nodiscard]] inline auto KootenaySite() -> Site {
  return {"kootenay", 50, 4, 3, 4, 8, 10, kKootenayWeights};
}
[[nodiscard]] inline auto SplitSite() -> Site {
  return {"split", 50, 4, 3, 4, 8, 10, kSplitWeights};
}
[[nodiscard]] inline auto TargetCellSite() -> Site {
  return {"target-cell", 633, 4, 1, 41, 8, 13, kSplitWeights};
}

[[nodiscard]] inline auto PoolTitle(int index) -> std::string {
  return "pool-" + std::to_string(index);
}

/// A running cell of the site: all VMs adopted, `slots` demand on each pool.
[[nodiscard]] inline auto MakeSite(const Site& site, double slots)
    -> VirtualCell {
  VirtualCell cell;
  AddMembers(cell, site.entries);
  AddVms(cell, site.vms, site.rack_size, site.zones);
  Profile profile;
  profile.weight_buffer = site.weights.buffer;
  profile.weight_rollout = site.weights.rollout;
  profile.weight_moves = site.weights.moves;
  for (int i = 0; i < site.pools; ++i) {
    PoolSpec pool;
    pool.min_vms = site.pool_vms;
    AddPool(cell, PoolTitle(i), pool, profile);
    SetDemand(cell, PoolTitle(i), slots);
  }
  PoolSpec spare;
  spare.spare = true;
  AddPool(cell, "spare", spare, {});
  while (cell.fleet.vms.size() < cell.listed.size()) {
    Step(cell);
  }
  // From here on the pools follow the demand.
  for (auto& [name, pool] : cell.config.pools) {
    pool.min_vms = 1;
  }
  return cell;
}

}  // namespace fireflythread::bench

#endif  // BENCH_COMMON_CONTROL_SITES_H_
