#include "fireflythread/control/shared_reserve.h"

#include <algorithm>
#include <numeric>

namespace fireflythread {
namespace {

auto CountVms(const std::map<RackName, int>& racks) -> int {
  return std::accumulate(
      racks.begin(), racks.end(), 0,
      [](int sum, const auto& rack) { return sum + rack.second; });
}

auto CountByRack(const std::vector<ReservePool>& pools)
    -> std::map<RackName, int> {
  std::map<RackName, int> used;
  for (const ReservePool& pool : pools) {
    for (const auto& [rack, vms] : pool.racks) {
      used[rack] += vms;
    }
  }
  return used;
}

/// Takes away the pools' surplus VMs, each from the rack that holds the most
/// VMs in use, as the controller does when it gives VMs back.
auto TrimSurplus(std::vector<ReservePool>& pools) -> void {
  std::map<RackName, int> used = CountByRack(pools);
  for (ReservePool& pool : pools) {
    for (int surplus = CountVms(pool.racks) - pool.kept; surplus > 0;
         --surplus) {
      const auto fullest = std::max_element(
          pool.racks.begin(), pool.racks.end(),
          [&used](const auto& left, const auto& right) {
            return std::pair(left.second > 0 ? used[left.first] : -1,
                             left.second) <
                   std::pair(right.second > 0 ? used[right.first] : -1,
                             right.second);
          });
      --fullest->second;
      --used[fullest->first];
    }
  }
}

/// VMs that the pools are short of after each rack's loss.
auto CountLosses(const std::vector<ReservePool>& pools)
    -> std::map<RackName, int> {
  std::map<RackName, int> losses;
  for (const ReservePool& pool : pools) {
    const int slack = CountVms(pool.racks) - pool.needed;
    for (const auto& [rack, vms] : pool.racks) {
      losses[rack] += std::max(0, vms - std::max(0, slack));
    }
  }
  return losses;
}

/// Whether `vms` spare VMs can be chosen so that after each rack's loss the
/// others cover it.
auto Suffices(int vms,
              const std::map<RackName, int>& losses,
              const std::map<RackName, int>& spare) -> bool {
  int usable = 0;
  for (const auto& [rack, available] : spare) {
    const auto loss = losses.find(rack);
    const int lost = loss == losses.end() ? 0 : loss->second;
    usable += std::clamp(vms - lost, 0, available);
  }
  return usable >= vms;
}

}  // namespace

auto PlanSharedReserve(std::vector<ReservePool> pools,
                       const std::map<RackName, int>& spare) -> SharedReserve {
  TrimSurplus(pools);
  const std::map<RackName, int> losses = CountLosses(pools);
  SharedReserve reserve;
  for (const auto& [rack, loss] : losses) {
    if (loss > reserve.vms) {
      reserve = {loss, rack};
    }
  }
  const int available = CountVms(spare);
  while (reserve.vms < available && !Suffices(reserve.vms, losses, spare)) {
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
