#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "bench/common/control_cell.h"
#include "fireflythread/base/random.h"

namespace fireflythread::bench {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

auto MakeCell() -> VirtualCell {
  VirtualCell cell;
  cell.reboot_time = seconds(20);
  AddMembers(cell, 4);
  AddVms(cell, 30, 4, 3);
  PoolSpec pool;
  pool.min_vms = 4;
  for (const char* name : {"a", "b", "c"}) {
    Profile profile;
    profile.weight_buffer = name[0] == 'a' ? 3 : 1;
    AddPool(cell, name, pool, profile);
    SetDemand(cell, name, 20);
  }
  pool.spare = true;
  AddPool(cell, "spare", pool, {});
  return cell;
}

/// Applies one random event: a change of demand, a fault, a wave or its
/// cancellation, or a restart of an entry or of the controller.
auto InjectRandomEvent(VirtualCell& cell, Random& random, int wave) -> void {
  ListedVm& vm = cell.listed[random() % cell.listed.size()];
  switch (random() % 8) {
    case 0:
      SetDemand(cell, std::string(1, static_cast<char>('a' + random() % 3)),
                static_cast<double>(random() % 120));
      break;
    case 1:
      vm.leaving = !vm.leaving;
      break;
    case 2:
      cell.faults[vm.id] = {static_cast<int>(random() % 4), "fails requests"};
      break;
    case 3:
      DeclareWave(cell, "w" + std::to_string(wave), {});
      break;
    case 4:
      for (auto& [id, record] : cell.waves) {
        if (record.state == WaveState::kRunning) {
          record.state = WaveState::kCancelled;
          record.version = ++cell.revision;
        }
      }
      break;
    case 5:
      cell.members.at(EntryId("entry-1")).incarnation = random();
      break;
    case 6:
      cell.memory = {};
      break;
    default:
      cell.silent.insert(EntryId("entry-2"));
      break;
  }
}

/// Ends all faults, restores the demand and cancels unfinished waves.
auto ClearFaults(VirtualCell& cell) -> void {
  cell.silent.clear();
  cell.faults.clear();
  for (ListedVm& vm : cell.listed) {
    vm.leaving = false;
  }
  for (const char* name : {"a", "b", "c"}) {
    SetDemand(cell, name, 20);
  }
  for (auto& [id, record] : cell.waves) {
    if (record.state != WaveState::kFinished) {
      record.state = WaveState::kCancelled;
      record.version = ++cell.revision;
    }
  }
}

}  // namespace

// Guards against sequences of faults after which a VM stays out of service, is
// in no pool or changes pool without a drain. The virtual cell aborts when a
// row violates the state machine or a VM reboots before its worker was drained.
TEST_CASE("every VM serves again after any sequence of faults") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    VirtualCell cell = MakeCell();
    RunFor(cell, seconds(2));
    for (int event = 0; event < 40; ++event) {
      InjectRandomEvent(cell, random, event);
      RunFor(cell, seconds(random() % 20));
    }
    ClearFaults(cell);
    RunFor(cell, minutes(10));
    REQUIRE(cell.conflicts == 0);
    REQUIRE(cell.fleet.vms.size() == cell.listed.size());
    for (const auto& [id, record] : cell.fleet.vms) {
      REQUIRE(record.state == VmState::kServing);
      REQUIRE(cell.config.pools.contains(record.pool));
    }
  }
}

}  // namespace fireflythread::bench
