#include "fireflythread/control/controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "bench/common/control_cell.h"

namespace fireflythread::bench {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Returns a cell with two pools and a spare pool over 16 VMs in four racks.
auto MakeCell() -> VirtualCell {
  VirtualCell cell;
  AddMembers(cell, 3);
  AddVms(cell, 16, 4, 2);
  PoolSpec pool;
  pool.min_vms = 5;
  AddPool(cell, "counter", pool, {});
  AddPool(cell, "planner", pool, {});
  pool.spare = true;
  pool.min_vms = 1;
  AddPool(cell, "spare", pool, {});
  SetDemand(cell, "counter", 16);
  SetDemand(cell, "planner", 16);
  RunFor(cell, seconds(5));
  return cell;
}

auto CountState(const VirtualCell& cell, VmState state) -> int {
  return static_cast<int>(std::count_if(
      cell.fleet.vms.begin(), cell.fleet.vms.end(),
      [state](const auto& vm) { return vm.second.state == state; }));
}

}  // namespace

// Guards against pools that start below their minimum or with too many VMs in
// one rack.
TEST_CASE("new VMs fill every pool to its minimum, spread over racks") {
  const VirtualCell cell = MakeCell();
  CHECK(CountPool(cell, "counter") == 5);
  CHECK(CountPool(cell, "planner") == 5);
  CHECK(CountPool(cell, "spare") == 6);
  std::map<std::string, int> racks;
  for (const auto& [id, record] : cell.fleet.vms) {
    racks[record.rack.value] += record.pool.value == "counter" ? 1 : 0;
  }
  for (const auto& [rack, vms] : racks) {
    CHECK(vms <= 2);
  }
}

// Guards against a spare pool that gets whole racks: the other pools are then
// spread over fewer racks, and the loss of one requires a larger reserve.
TEST_CASE("new VMs leave every pool with VMs in most racks") {
  VirtualCell cell;
  AddMembers(cell, 3);
  AddVms(cell, 50, 4, 3);
  PoolSpec pool;
  pool.min_vms = 10;
  for (const char* name : {"counter", "planner", "office", "desk"}) {
    AddPool(cell, name, pool, {});
    SetDemand(cell, name, 16);
  }
  pool.spare = true;
  AddPool(cell, "spare", pool, {});
  RunFor(cell, seconds(5));
  std::map<std::string, std::set<std::string>> racks;
  for (const auto& [id, record] : cell.fleet.vms) {
    racks[record.pool.value].insert(record.rack.value);
  }
  for (const auto& [name, used] : racks) {
    CHECK(used.size() >= 9);
  }
}

// Guards against a pool that lacks VMs in a surge while spare VMs are idle.
TEST_CASE("a surge gets spare VMs, higher priority first") {
  VirtualCell cell = MakeCell();
  for (auto& [name, profile] : cell.config.profiles) {
    profile.headroom = 0;
    profile.priority = name.value == "counter" ? 90 : 10;
  }
  SetDemand(cell, "counter", 80);
  SetDemand(cell, "planner", 80);
  RunFor(cell, seconds(10));
  CHECK(CountPool(cell, "counter") == 10);
  CHECK(CountPool(cell, "planner") == 6);
  CHECK(Step(cell).report.pools.at(PoolName("planner")).missing == 4);
}

// Guards against a wave that reboots a VM that an entry still uses, skips VMs
// or reboots a VM twice. The virtual cell asserts that VMs are drained before
// their reboot and that rows follow the state machine.
TEST_CASE("a wave reboots every VM once and returns it to service") {
  VirtualCell cell = MakeCell();
  DeclareWave(cell, "w1", {});
  REQUIRE(RunWave(cell, "w1", minutes(30)));
  CHECK(cell.waves.at(WaveId("w1")).done.size() == 16);
  for (const auto& [id, vm] : cell.vms) {
    CHECK(vm.reboots == 1);
    CHECK_FALSE(vm.told_to_drain);
  }
  CHECK(CountState(cell, VmState::kServing) == 16);
}

// Guards against a wave that makes more VMs of a pool unavailable than its
// profile allows or that leaves fewer VMs than the demand needs.
TEST_CASE("a wave respects max_unavailable and headroom at every step") {
  VirtualCell cell = MakeCell();
  SetDemand(cell, "counter", 32);
  DeclareWave(cell, "w1", {});
  for (int step = 0; step < 4000; ++step) {
    Step(cell);
    int out = 0;
    int serving = 0;
    int size = 0;
    for (const auto& [id, record] : cell.fleet.vms) {
      if (record.pool.value == "counter" && record.next_pool.empty()) {
        ++size;
        (record.state == VmState::kServing ? serving : out) += 1;
      }
    }
    REQUIRE(out <= std::max(1, size / 5));
    REQUIRE(serving >= 5);
  }
  CHECK(cell.waves.at(WaveId("w1")).state == WaveState::kFinished);
}

// Guards against a wave that never finishes because two of its pools borrow the
// last spare VM from each other in turn, so that it moves all the time.
TEST_CASE("pools in a wave do not pass the last spare VM back and forth") {
  VirtualCell cell = MakeCell();
  SetDemand(cell, "counter", 44);
  SetDemand(cell, "planner", 51);
  RunFor(cell, seconds(5));
  cell.pool_changes = 0;
  DeclareWave(cell, "w1", {});
  REQUIRE(RunWave(cell, "w1", minutes(60)));
  CHECK(cell.pool_changes <= 16);
}

// Guards against rebooting a VM while an unresponsive entry may still send
// requests to it.
TEST_CASE("an unresponsive entry delays the drain for 32 s") {
  VirtualCell cell = MakeCell();
  cell.silent.insert(EntryId("entry-2"));
  DeclareWave(cell, "w1", {WaveSelectorKind::kVms, "", {VmId("worker-00000")}});
  RunFor(cell, seconds(30));
  CHECK(cell.vms.at(VmId("worker-00000")).reboots == 0);
  RunFor(cell, seconds(5));
  CHECK(cell.vms.at(VmId("worker-00000")).reboots == 1);
}

// Guards against a wave that goes on failing VMs without replacing them, and
// against a failed VM that still counts as a serving VM of its pool.
TEST_CASE("a VM that does not return from its reboot is failed and replaced") {
  VirtualCell cell = MakeCell();
  const VmId broken = std::find_if(cell.fleet.vms.begin(), cell.fleet.vms.end(),
                                   [](const auto& vm) {
                                     return vm.second.pool.value == "counter";
                                   })
                          ->first;
  cell.vms.at(broken).breaks = true;
  SetDemand(cell, "counter", 32);
  DeclareWave(cell, "w1", {WaveSelectorKind::kVms, "", {broken}});
  REQUIRE(RunWave(cell, "w1", minutes(10)));
  CHECK(cell.fleet.vms.at(broken).state == VmState::kFailed);
  CHECK_FALSE(cell.fleet.vms.at(broken).reason.empty());
  CHECK(cell.waves.at(WaveId("w1")).failed.size() == 1);
  RunFor(cell, seconds(5));
  const PoolStatus status = Step(cell).report.pools.at(PoolName("counter"));
  CHECK(status.serving >= 5);
}

// Guards against a cancelled wave that leaves VMs drained or drains more VMs.
TEST_CASE("a cancelled wave drains no more VMs and finishes those begun") {
  VirtualCell cell = MakeCell();
  DeclareWave(cell, "w1", {});
  RunFor(cell, seconds(10));
  const int out = 16 - CountState(cell, VmState::kServing);
  REQUIRE(out > 0);
  WaveRecord& wave = cell.waves.at(WaveId("w1"));
  wave.state = WaveState::kCancelled;
  wave.version = ++cell.revision;
  RunFor(cell, minutes(5));
  CHECK(CountState(cell, VmState::kServing) == 16);
  CHECK(static_cast<int>(cell.waves.at(WaveId("w1")).done.size()) == out);
}

// Guards against a wave that ignores the maintenance windows, and against one
// that does not report why it waits.
TEST_CASE("a closed window blocks the wave and is reported") {
  VirtualCell cell = MakeCell();
  for (auto& [name, profile] : cell.config.profiles) {
    profile.windows.push_back({minutes(60), minutes(120), {}});
  }
  DeclareWave(cell, "w1", {WaveSelectorKind::kPool, "counter", {}});
  RunFor(cell, minutes(10));
  CHECK(CountState(cell, VmState::kServing) == 16);
  const ControllerDecision decision = Step(cell);
  REQUIRE(decision.report.blocked.size() == 5);
  CHECK(decision.report.blocked[0].budget == WaveBudget::kWindow);
  cell.wall_time = WallTime(minutes(60));
  CHECK(RunWave(cell, "w1", minutes(59)));
}

// Guards against a row that remains after its VM has been deleted, and against
// removing a VM that the lagging list omits for a moment.
TEST_CASE("a VM missing from the list is removed after its drain") {
  VirtualCell cell = MakeCell();
  const ListedVm last = cell.listed.back();
  cell.listed.pop_back();
  RunFor(cell, seconds(3));
  cell.listed.push_back(last);
  RunFor(cell, seconds(10));
  CHECK(cell.fleet.vms.at(last.id).generation == 1);
  cell.listed.pop_back();
  RunFor(cell, seconds(10));
  CHECK_FALSE(cell.fleet.vms.contains(last.id));
}

// Guards against a former controller that commits changes after it lost its
// lease: every transaction must have the epoch and head conditions.
TEST_CASE("every transaction checks the epoch and increments the head") {
  VirtualCell cell = MakeCell();
  DeclareWave(cell, "w1", {});
  int seen = 0;
  for (int step = 0; step < 400; ++step) {
    const std::uint64_t version = cell.fleet.version;
    const ControllerDecision decision = Step(cell);
    REQUIRE(decision.transactions.size() <= 1);
    for (const Transaction& transaction : decision.transactions) {
      ++seen;
      CHECK(transaction.conditions.at(0).key == "controller_epoch");
      CHECK(transaction.conditions.at(1).key == "head");
      CHECK(transaction.conditions.size() == transaction.writes.size() + 1);
      CHECK(transaction.writes.at(0).value == std::to_string(version + 1));
    }
  }
  CHECK(seen > 0);
  CHECK(cell.conflicts == 0);
}

// Guards against keeping VMs for a recent peak in addition to the reserve, for
// which the operator would pay twice.
TEST_CASE("pools keep no more VMs for a recent peak than the reserve") {
  VirtualCell cell = MakeCell();
  for (auto& [name, pool] : cell.config.pools) {
    pool.min_vms = 1;
  }
  RunFor(cell, seconds(30));
  SetDemand(cell, "counter", 56);
  RunFor(cell, seconds(5));
  SetDemand(cell, "counter", 8);
  const ControllerReport report = Step(cell).report;
  const PoolStatus& counter = report.pools.at(PoolName("counter"));
  const int reserve = report.pools.at(PoolName("spare")).target;
  CHECK(counter.target > counter.needed);
  CHECK(counter.target - counter.needed <= reserve);
}

// Guards against a new controller that moves VMs to other pools before it knows
// the demand.
TEST_CASE("no VM leaves its pool while demand reports are missing") {
  VirtualCell cell = MakeCell();
  for (auto& [name, profile] : cell.config.profiles) {
    profile.weight_buffer = 5;
  }
  cell.config.pools.at(PoolName("counter")).min_vms = 1;
  cell.memory = {};
  cell.demand.clear();
  RunFor(cell, minutes(10));
  CHECK(CountPool(cell, "counter") == 5);
}

}  // namespace fireflythread::bench
