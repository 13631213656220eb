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

/// 20 VMs in racks of four; one pool and the spare pool.
auto MakeCell(std::chrono::seconds interval) -> VirtualCell {
  VirtualCell cell;
  cell.wall_time = WallTime(days(20000));
  cell.step_time = seconds(30);
  AddMembers(cell, 2);
  AddVms(cell, 20, 4, 2);
  Profile profile;
  profile.maintenance_interval = interval;
  // An hour a night.
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
// window opens every night, and against VMs that are taken again and again.
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
    // At the earliest in the last quarter of each interval.
    CHECK(vm.reboots <= 5);
  }
  for (const auto& [id, wave] : cell.waves) {
    CHECK(wave.declared_by == kScheduleAuthor);
    CHECK(wave.selector.vms.size() <= 4);
  }
}

// Guards against waves that nobody asked for.
TEST_CASE("without an interval no wave is declared") {
  VirtualCell cell = MakeCell(seconds(0));
  RunFor(cell, days(2));
  CHECK(cell.waves.empty());
  CHECK(Overdue(cell) == 0);
}

// Guards against the schedule taking VMs beside a wave of an operator.
TEST_CASE("the schedule waits for the operators' waves") {
  VirtualCell cell = MakeCell(days(1));
  for (auto& [name, profile] : cell.config.profiles) {
    profile.windows.clear();
  }
  RunFor(cell, seconds(60));
  DeclareWave(cell, "operator", {WaveSelectorKind::kRack, "rack-0", {}});
  // The wave cannot go on, because one entry acknowledges no drain.
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
