#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "fireflythread/duties/duties.h"
#include "fireflythread/duties/duty_limits.h"
#include "fireflythread/jobs/pool_part.h"
#include "test/fireflythread/duties/duty_fixture.h"

namespace fireflythread::test {
namespace {

constexpr std::int64_t kWorkerMillicores = 8000;

const ServiceName kPool("a");

auto CountMoves(const DutyFixture& fixture,
                const std::string& from,
                const std::string& target) -> int {
  int moves = 0;
  for (const auto& [vm, duty] : fixture.state.duties) {
    moves +=
        duty.from == ServiceName(from) && duty.target == ServiceName(target)
            ? 1
            : 0;
  }
  return moves;
}

// Pattern: the peak is over, and jobs that have missed their objective wait.
TEST_CASE("Late work that waits gets idle VMs of the spare pool only",
          "[duties]") {
  // Guards against an accepted job for which nobody brings a VM once it is
  // late, and against late work that takes the VMs of other pools.
  DutyFixture fixture;
  fixture.state.loads[kPool].late_waiting_millicores = 20 * kWorkerMillicores;

  SECTION("no other pool needs them") {
    PlanMoves(fixture.state, fixture.now);
    CHECK(CountMoves(fixture, "spare", "a") == 2);
    CHECK(CountMoves(fixture, "b", "a") == 0);
  }
  SECTION("work in time goes first") {
    fixture.SetLoad("b", kWorkerMillicores, 2 * kWorkerMillicores);
    PlanMoves(fixture.state, fixture.now);
    CHECK(CountMoves(fixture, "spare", "a") == 0);
    CHECK(CountMoves(fixture, "spare", "b") == 2);
  }
}

TEST_CASE("Late work that nothing else lets run gets idle VMs of other pools",
          "[duties]") {
  // Guards against a task that needs a whole worker and waits for ever while
  // another pool keeps idle ones that it doesn't need.
  DutyFixture fixture;
  fixture.state.part_counts[kPool] = 1;
  PoolLoad& load = fixture.state.loads[kPool];
  load.late_waiting_millicores = kWorkerMillicores;
  load.worker_need = {4, 8, 0, 4};
  fixture.state.shard_loads[ShardOf({kPool, 0, 1})] = load;
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "spare", "a") == 2);
  // The other pool keeps its share.
  CHECK(CountMoves(fixture, "b", "a") == 4 - 3);
  PlanMoves(fixture.state, fixture.now);
  // The pool has one part, so its own VMs don't help by leaving.
  CHECK(CountMoves(fixture, "a", "spare") == 0);

  SECTION("but none that runs something") {
    DutyFixture busy;
    busy.state.part_counts = fixture.state.part_counts;
    busy.state.loads[kPool] = load;
    busy.state.shard_loads = fixture.state.shard_loads;
    busy.SetLoad("b", 1000, 0);
    PlanMoves(busy.state, busy.now);
    CHECK(CountMoves(busy, "b", "a") == 0);
  }
}

/// Has pool "a" of 24 VMs in two parts, and a spare pool of four.
class PartsFixture : public DutyFixture {
 public:
  PartsFixture() {
    for (int number = 4; number < 24; ++number) {
      this->Add("a", number);
    }
    this->Add("spare", 2);
    this->Add("spare", 3);
    this->state.has_machine_list = false;
    this->state.base_sizes.clear();
    ApplyMachineList(this->state, this->machines, this->now);
    this->state.part_counts[kPool] = 2;
    PoolLoad& load = this->state.loads[kPool];
    for (int number = 0; number < 24; ++number) {
      const WorkerId worker("w-a" + std::to_string(number));
      load.workers[worker] = {0, 0};
      ++this->sizes[static_cast<std::size_t>(PartOfWorker(worker, 2))];
    }
  }

  /// Sets how many workers part 0 lacks.
  auto SetLack(int in_time, int with_late_work) -> void {
    PoolLoad load;
    load.pool = kPool;
    load.worker_need = {this->sizes[0], this->sizes[0], in_time,
                        with_late_work};
    this->state.shard_loads[ShardOf({kPool, 0, 2})] = load;
  }

  std::vector<int> sizes = {0, 0};
};

TEST_CASE("A part that lacks workers gets VMs although its pool has enough",
          "[duties]") {
  // Guards against a part whose jobs wait for ever because the pool as a whole
  // has more VMs than it needs.
  PartsFixture fixture;
  SECTION("in time") {
    fixture.SetLack(1, 1);
  }
  SECTION("for late work") {
    fixture.SetLack(0, 1);
  }
  PlanMoves(fixture.state, fixture.now);
  // One for each part on average.
  CHECK(CountMoves(fixture, "spare", "a") == 2);
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "spare", "a") == 2);
}

TEST_CASE("VMs for a part come after other pools' work in time", "[duties]") {
  // Guards against a part that takes the spare pool from a pool in its peak.
  PartsFixture fixture;
  fixture.SetLack(4, 4);
  fixture.SetLoad("b", kWorkerMillicores, 4 * kWorkerMillicores);
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "spare", "b") == 4);
  CHECK(CountMoves(fixture, "spare", "a") == 0);
}

TEST_CASE("A worker that the part's owner has not listed yet is no lack",
          "[duties]") {
  // Guards against VMs that are brought again while those that have arrived
  // are not yet in the owner's load.
  PartsFixture fixture;
  fixture.SetLack(1, 1);
  for (int number = 0; number < 24; ++number) {
    const WorkerId worker("w-a" + std::to_string(number));
    if (PartOfWorker(worker, 2) == 0) {
      fixture.state.loads[kPool].workers.erase(worker);
      break;
    }
  }
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "spare", "a") == 0);
}

TEST_CASE("VMs in upkeep are no lack of their part", "[duties]") {
  // Guards against a wave that brings a VM for each one that it maintains.
  PartsFixture fixture;
  PoolLoad load;
  load.pool = kPool;
  load.worker_need = {fixture.sizes[0], fixture.sizes[0], 0, 0};
  for (int number = 0; number < 24; ++number) {
    const WorkerId worker("w-a" + std::to_string(number));
    if (PartOfWorker(worker, 2) == 0) {
      load.workers[worker] = {1000, 1};
    }
  }
  fixture.state.shard_loads[ShardOf({kPool, 0, 2})] = load;
  Duty upkeep;
  upkeep.worker = load.workers.begin()->first;
  upkeep.vm = VmId(upkeep.worker.value.substr(2));
  upkeep.from = kPool;
  upkeep.wave = 1;
  fixture.state.duties.emplace(upkeep.vm, upkeep);
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "spare", "a") == 0);
}

TEST_CASE("Idle VMs of other parts change part when no VM is spare",
          "[duties]") {
  // Guards against a part that lacks workers while other parts of its pool keep
  // idle ones and the spare pool is empty.
  PartsFixture fixture;
  std::erase_if(fixture.machines, [](const MachineView& machine) -> bool {
    return machine.pool == ServiceName("spare");
  });
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  fixture.SetLoad("b", 1000, 0);
  fixture.SetLack(1, 1);
  PlanMoves(fixture.state, fixture.now);
  // One for each part on average.
  REQUIRE(CountMoves(fixture, "a", "spare") == 2);
  PlanMoves(fixture.state, fixture.now);
  CHECK(CountMoves(fixture, "a", "spare") == 2);
  for (const auto& [vm, duty] : fixture.state.duties) {
    if (duty.from == kPool) {
      CHECK(PartOfWorker(duty.worker, 2) == 1);
    }
  }
}

TEST_CASE("Loads of older versions have no late work and no minimum",
          "[duties]") {
  // Guards against a rolling update in which new owners of the duties cannot
  // read the loads of older entries.
  const auto load = DecodePoolLoad(
      R"({"pool":"a","fence":7,"waiting_millicores":1,"late_millicores":2,)"
      R"("arriving_millicores":3,"workers":{"w":[4,5]}})");
  REQUIRE(load);
  CHECK(load->late_waiting_millicores == 0);
  CHECK(load->worker_need == WorkerNeed{});
  PoolLoad changed = *load;
  changed.late_waiting_millicores = 6;
  changed.worker_need = {7, 8, 9, 10};
  CHECK(DecodePoolLoad(EncodePoolLoad(changed)) == changed);
}

}  // namespace
}  // namespace fireflythread::test
