#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"
#include "fireflythread/jobs/pool_part.h"
#include "test/fireflythread/duties/duty_fixture.h"

namespace fireflythread::test {
namespace {

/// Sets the load of one part of pool "a", which all of its VMs belong to by
/// their workers' ids.
auto SetPartLoad(DutyFixture& fixture, int index, std::int64_t waiting)
    -> void {
  PoolLoad load;
  load.pool = ServiceName("a");
  load.waiting_millicores = waiting;
  fixture.state.shard_loads[ShardOf({ServiceName("a"), index, 2})] = load;
}

/// Returns the indices of the parts whose workers are to be drained, with the
/// number of these workers.
auto DrainedByPart(const DutyFixture& fixture) -> std::vector<int> {
  std::vector<int> drained(2);
  for (const auto& [vm, duty] : fixture.state.duties) {
    if (duty.from == ServiceName("a")) {
      ++drained[static_cast<std::size_t>(PartOfWorker(duty.worker, 2))];
    }
  }
  return drained;
}

// Pattern: the queues of a large pool are quiet, but one of its parts has work
// of its own, while another pool has a peak.
TEST_CASE("A part of a pool keeps the workers that its jobs need", "[duties]") {
  // Guards against a part without workers, whose jobs wait although most of the
  // pool's workers are idle.
  DutyFixture fixture;
  const ServiceName pool("a");
  for (int number = 4; number < 24; ++number) {
    fixture.Add("a", number);
  }
  fixture.state.has_machine_list = false;
  fixture.state.base_sizes.clear();
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  PoolLoad& load = fixture.state.loads[pool];
  std::vector<int> sizes(2);
  for (int number = 0; number < 24; ++number) {
    const WorkerId worker("w-a" + std::to_string(number));
    load.workers[worker] = {0, 0};
    ++sizes[static_cast<std::size_t>(PartOfWorker(worker, 2))];
  }
  fixture.state.part_counts[pool] = 2;
  constexpr std::int64_t kWorkerMillicores = 8000;
  SetPartLoad(fixture, 0, sizes[0] * kWorkerMillicores);
  SetPartLoad(fixture, 1, 0);
  // The sum of the pool's load is small, as if the part's had just arrived.
  fixture.SetLoad("b", kWorkerMillicores, 100 * kWorkerMillicores);
  PlanMoves(fixture.state, fixture.now);
  const std::vector<int> drained = DrainedByPart(fixture);
  CHECK(drained[0] == 0);
  CHECK(drained[1] > 0);
  // A part without load keeps its share of what the pool keeps.
  CHECK(sizes[1] - drained[1] >= 24 * kMinRetainedPercent / 100 / 2);
}

TEST_CASE("The load of a pool is the sum of its parts' loads", "[duties]") {
  PoolLoad first;
  first.pool = ServiceName("a");
  first.waiting_millicores = 5;
  first.late_millicores = 1;
  first.workers[WorkerId("w1")] = {10, 1};
  PoolLoad second = first;
  second.workers = {{WorkerId("w2"), {20, 0}}};
  second.arriving_millicores = 7;
  PoolLoad other = first;
  other.pool = ServiceName("b");
  const PoolLoad sum = SumLoads({{ShardName("a.2.0"), first},
                                 {ShardName("a.2.1"), second},
                                 {ShardName("b"), other}},
                                ServiceName("a"));
  CHECK(sum.waiting_millicores == 10);
  CHECK(sum.late_millicores == 2);
  CHECK(sum.arriving_millicores == 7);
  CHECK(sum.workers.size() == 2);
}

// Pattern: hundreds of VMs leave quiet pools for the pool with the peak while a
// wave has to maintain half of the fleet.
TEST_CASE("Moves out of a pool do not use up a wave's share of it",
          "[duties]") {
  // Guards against a wave that is late because VMs that are about to leave
  // count as unavailable: 135 of 506 VMs were left when its time was over.
  DutyFixture fixture;
  for (int number = 4; number < 16; ++number) {
    fixture.Add("a", number);
  }
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  WaveRequest wave;
  wave.number = 1;
  wave.cap = 100;
  wave.duration = std::chrono::seconds(30);
  for (int number = 0; number < 16; ++number) {
    const VmId vm("a" + std::to_string(number));
    if (number < 4) {
      Duty move;
      move.vm = vm;
      move.worker = WorkerId("w-" + vm.value);
      move.from = ServiceName("a");
      move.target = ServiceName("b");
      move.since = fixture.now;
      fixture.state.duties.emplace(vm, move);
    } else {
      wave.vms.push_back(vm);
    }
  }
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 4 + 16 / kUnavailableDivisor);
}

}  // namespace
}  // namespace fireflythread::test
