#include "fireflythread/control/wave_plan.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "bench/common/control_cell.h"

namespace fireflythread::bench {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

auto MakeCell(int vms) -> VirtualCell {
  VirtualCell cell;
  AddMembers(cell, 2);
  AddVms(cell, vms, 4, 2);
  PoolSpec pool;
  pool.min_vms = 10;
  AddPool(cell, "counter", pool, {});
  pool.spare = true;
  AddPool(cell, "spare", pool, {});
  SetDemand(cell, "counter", 56);
  RunFor(cell, seconds(5));
  return cell;
}

auto DeclaredWave() -> WaveRecord {
  WaveRecord wave;
  wave.id = WaveId("w1");
  return wave;
}

}  // namespace

// Guards against a dry run whose predicted duration differs from that of the
// actual wave.
TEST_CASE("the planned duration is close to that of the actual wave") {
  VirtualCell cell = MakeCell(20);
  const WavePlan plan = PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  REQUIRE(plan.finishes);
  CHECK_FALSE(plan.blocked.empty());
  const TimePoint start = cell.now;
  DeclareWave(cell, "w1", {});
  REQUIRE(RunWave(cell, "w1", minutes(60)));
  const double ratio = static_cast<double>((cell.now - start).count()) /
                       static_cast<double>(plan.duration.count());
  CHECK(ratio > 0.9);
  CHECK(ratio < 1.2);
}

// Guards against a plan that reports a wave as blocked although its pools can
// use the same spare VM one after the other.
TEST_CASE("a plan reuses spare VMs that finished pools return") {
  VirtualCell cell = MakeCell(20);
  AddPool(cell, "planner", {}, {});
  SetDemand(cell, "counter", 60);
  SetDemand(cell, "planner", 50);
  RunFor(cell, seconds(10));
  const WavePlan plan = PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  CHECK(plan.finishes);
}

// Guards against a plan that ignores the time until a window opens.
TEST_CASE("a plan waits for maintenance windows") {
  VirtualCell cell = MakeCell(20);
  for (auto& [name, profile] : cell.config.profiles) {
    profile.windows.push_back({minutes(120), minutes(240), {}});
  }
  const WavePlan plan = PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  CHECK(plan.finishes);
  CHECK(plan.duration > minutes(119));
}

// Guards against a plan that does not report that a wave can never finish.
TEST_CASE("a plan reports the budget that blocks a wave for good") {
  VirtualCell cell = MakeCell(20);
  cell.config.pools.erase(PoolName("spare"));
  SetDemand(cell, "counter", 200);
  const WavePlan plan = PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  CHECK_FALSE(plan.finishes);
  REQUIRE_FALSE(plan.blocked.empty());
  CHECK(plan.blocked[0].budget == WaveBudget::kHeadroom);
}

// Guards against ignored weights: a profile that weighs buffer above roll-out
// keeps the reserve during waves, so its waves take longer.
TEST_CASE("the weights trade the reserve against the roll-out time") {
  VirtualCell cell = MakeCell(14);
  SetDemand(cell, "counter", 64);
  RunFor(cell, seconds(2));
  const WavePlan even = PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  cell.config.profiles.begin()->second.weight_buffer = 3;
  const WavePlan buffer =
      PlanWave(MakeInputs(cell), cell.memory, DeclaredWave());
  CHECK(even.finishes);
  CHECK(buffer.finishes);
  CHECK(buffer.duration > even.duration);
  CHECK(buffer.lent < even.lent);
  DeclareWave(cell, "w1", {});
  CHECK(RunWave(cell, "w1", minutes(60)));
}

}  // namespace fireflythread::bench
