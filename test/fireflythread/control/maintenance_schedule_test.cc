#include "fireflythread/control/maintenance_schedule.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "bench/common/control_cell.h"
#include "fireflythread/control/pool_policy.h"

namespace fireflythread::bench {
namespace {

using std::chrono::days;
using std::chrono::hours;
using std::chrono::seconds;

/// Returns a cell with one pool and a spare pool over 20 VMs in racks of four.
auto MakeCell(std::chrono::seconds interval) -> VirtualCell {
  VirtualCell cell;
  cell.wall_time = WallTime(days(20000));
  cell.step_time = seconds(30);
  AddMembers(cell, 2);
  AddVms(cell, 20, 4, 2);
  Profile profile;
  profile.maintenance_interval = interval;
  // One hour every night.
  profile.windows = {{hours(2), hours(3), {}}};
  PoolSpec pool;
  pool.min_vms = 10;
  AddPool(cell, "counter", pool, profile);
  pool.spare = true;
  AddPool(cell, "spare", pool, {});
  SetDemand(cell, "counter", 48);
  return cell;
}

auto Overdue(const VirtualCell& cell) -> int {
  return CountOverdue(cell.fleet, MakePoolPolicies(cell.config),
                      cell.wall_time);
}

}  // namespace

// Guards against a VM that is not maintained within its interval although its
// window opens every night, and against VMs that are rebooted too often.
TEST_CASE("every VM is maintained once in its interval") {
  VirtualCell cell = MakeCell(days(6));
  const TimePoint end = cell.now + days(24);
  int max_overdue = 0;
  while (cell.now < end) {
    Step(cell);
    max_overdue = std::max(max_overdue, Overdue(cell));
  }
  CHECK(max_overdue == 0);
  for (const auto& [id, vm] : cell.vms) {
    CAPTURE(id.value);
    CHECK(vm.reboots >= 3);
    // Each VM is rebooted at the earliest in the last quarter of its interval.
    CHECK(vm.reboots <= 5);
  }
  for (const auto& [id, wave] : cell.waves) {
    CHECK(wave.declared_by == kScheduleAuthor);
    CHECK(wave.selector.vms.size() <= 4);
  }
}

// Guards against scheduled waves in a pool that has no maintenance interval.
TEST_CASE("without an interval no wave is declared") {
  VirtualCell cell = MakeCell(seconds(0));
  RunFor(cell, days(2));
  CHECK(cell.waves.empty());
  CHECK(Overdue(cell) == 0);
}

// Guards against a scheduled wave that runs at the same time as an operator's.
TEST_CASE("the schedule declares no wave while an operator's wave is active") {
  VirtualCell cell = MakeCell(days(1));
  for (auto& [name, profile] : cell.config.profiles) {
    profile.windows.clear();
  }
  RunFor(cell, seconds(60));
  DeclareWave(cell, "operator", {WaveSelectorKind::kRack, "rack-0", {}});
  // The wave makes no progress, because one entry acknowledges no drain.
  cell.silent = {EntryId("entry-1")};
  cell.members[EntryId("entry-1")].last_heard = cell.now;
  for (auto& [name, profile] : cell.config.profiles) {
    profile.max_unavailable = 0.01;
    profile.headroom = 4;
  }
  RunFor(cell, days(2));
  CHECK(cell.waves.size() == 1);
  CHECK(Overdue(cell) > 0);
}

}  // namespace fireflythread::bench
