// Roll-out time: how long a maintenance wave over the whole site takes, against
// the least time that the budgets allow, and against one VM at a time.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <string>
#include <vector>

#include "bench/common/control_bounds.h"
#include "bench/common/control_results.h"
#include "bench/common/control_sites.h"
#include "fireflythread/control/wave_plan.h"

DEFINE_string(csv, "", "file for the results as CSV");

namespace fireflythread::bench {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kMaxUnavailable = 0.2;
constexpr double kHeadroom = 1.25;
constexpr int kSlots = 8;

/// The least time a VM is out: drain, reboot, verification.
auto LeastOutTime(const VirtualCell& cell) -> Duration {
  return cell.drain_time + cell.reboot_time + cell.limits.verify;
}

auto BoundOf(const VirtualCell& cell, const Site& site, double vms_needed)
    -> Duration {
  std::vector<WavePool> pools;
  std::vector<int> racks(static_cast<std::size_t>(
                             (site.vms + site.rack_size - 1) / site.rack_size),
                         site.rack_size);
  const int needed = static_cast<int>(vms_needed + 0.999);
  int in_pools = 0;
  for (int i = 0; i < site.pools; ++i) {
    const int vms = CountPool(cell, PoolTitle(i));
    in_pools += vms;
    pools.push_back(
        {vms, std::max(1, static_cast<int>(vms * kMaxUnavailable)), needed});
  }
  // Only a site that puts buffer above roll-out keeps its reserve in a wave.
  int reserve = site.weights.buffer > site.weights.rollout
                    ? LeastReserve(racks, needed * site.pools)
                    : 0;
  // A reserve that the site cannot keep does not hold up the wave.
  if (site.vms - needed * site.pools <= reserve) {
    reserve = 0;
  }
  return LeastWaveTime(pools, site.vms - in_pools, reserve, LeastOutTime(cell));
}

auto RunCase(const Site& site, double share) -> ControlResult {
  const double needed = site.pool_vms * share;
  VirtualCell cell = MakeSite(site, needed * kSlots / kHeadroom);
  for (auto& [name, profile] : cell.config.profiles) {
    profile.max_unavailable = kMaxUnavailable;
  }
  cell.memory.maintenance_time = LeastOutTime(cell);
  RunFor(cell, std::chrono::seconds(5));
  WaveRecord wave;
  wave.id = WaveId("all");
  const WavePlan baseline =
      PlanWave(MakeInputs(cell), cell.memory, wave, SelectOneAtATime);
  const Duration bound = BoundOf(cell, site, needed);
  const TimePoint start = cell.now;
  DeclareWave(cell, "all", {});
  const bool finished = RunWave(cell, "all", std::chrono::hours(2));
  if (!finished) {
    fmt::print("{}: the wave did not finish\n", site.name);
  }
  return {"wave-seconds",
          fmt::format("{} load={:.0f}% weights={:.0f}/{:.0f}/{:.0f}", site.name,
                      share * 100, site.weights.buffer, site.weights.rollout,
                      site.weights.moves),
          baseline.finishes ? Seconds(baseline.duration).count() : 0.0,
          Seconds(cell.now - start).count(), Seconds(bound).count()};
}

auto WithWeights(Site site, Weights weights) -> Site {
  site.weights = weights;
  return site;
}

}  // namespace
}  // namespace fireflythread::bench

auto main(int argc, char** argv) -> int {
  namespace bench = fireflythread::bench;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<bench::ControlResult> results;
  for (const bench::Site& site :
       {bench::KootenaySite(),
        bench::WithWeights(bench::KootenaySite(), bench::kSplitWeights)}) {
    for (const double share : {0.3, 0.7, 0.9, 1.0, 1.15}) {
      results.push_back(bench::RunCase(site, share));
    }
  }
  for (const double share : {0.7, 1.0}) {
    results.push_back(bench::RunCase(bench::TargetCellSite(), share));
  }
  bench::PrintResults(results);
  return bench::WriteCsv(results, FLAGS_csv) ? 0 : 1;
}
