#include "fireflythread/duties/duties.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/duties/duty_limits.h"
#include "test/fireflythread/duties/duty_fixture.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

TEST_CASE("No more VMs of a wave are down than its cap", "[duties]") {
  DutyFixture fixture;
  WaveRequest wave;
  wave.number = 3;
  for (const MachineView& machine : fixture.machines) {
    wave.vms.push_back(machine.vm);
  }
  wave.cap = 3;
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);

  SECTION("an order without an answer counts as down") {
    const VmId vm = fixture.state.duties.begin()->first;
    fixture.Complete(vm, DutyVerdict::kUnknown);
    PlanUpkeeps(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 3);
    CHECK(fixture.state.waves.at(3).done.empty());
  }
  SECTION("a VM is down until its new worker is listed") {
    const VmId vm("spare0");
    fixture.Complete(vm, DutyVerdict::kDone);
    ApplyMachineList(fixture.state, fixture.machines, fixture.now);
    PlanUpkeeps(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 3);
    CHECK(fixture.state.duties.contains(vm));
    for (MachineView& machine : fixture.machines) {
      if (machine.vm == vm) {
        machine.worker = WorkerId("w-new");
      }
    }
    ApplyMachineList(fixture.state, fixture.machines, fixture.now);
    CHECK_FALSE(fixture.state.duties.contains(vm));
  }
}

TEST_CASE("A wave that is not urgent defers upkeeps in a pool with a load peak",
          "[duties]") {
  // A wave is declared while one queue has a load peak.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PlanMoves(fixture.state, fixture.now);
  fixture.state.duties.clear();
  WaveRequest wave;
  wave.number = 3;
  wave.vms = {VmId("a0"), VmId("b0")};
  wave.cap = 2;
  wave.duration = std::chrono::seconds(25);
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK_FALSE(fixture.state.duties.contains(VmId("a0")));
  CHECK(fixture.state.duties.contains(VmId("b0")));

  // Guards against a wave that misses its deadline because the peak lasts.
  fixture.now += std::chrono::seconds(9);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.contains(VmId("a0")));
}

TEST_CASE("A wave over most VMs of a pool is not deferred by its load peak",
          "[duties]") {
  // Guards against a wave of racks that misses its deadline because most of its
  // VMs are in one pool, of which only a few may be unavailable at a time.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PlanMoves(fixture.state, fixture.now);
  fixture.state.duties.clear();
  WaveRequest wave;
  wave.number = 3;
  wave.vms = {VmId("a0"), VmId("a1"), VmId("a2"), VmId("a3")};
  wave.cap = 4;
  wave.duration = std::chrono::seconds(20);
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 1);
}

TEST_CASE("VMs with long-running tasks are drained also during a load peak",
          "[duties]") {
  // A wave of racks is declared while one queue has a load peak. Guards against
  // a wave that misses its deadline because its last VMs are drained one at a
  // time.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PoolLoad& load = fixture.state.loads[ServiceName("a")];
  load.workers[WorkerId("w-a1")].long_running_tasks = 1;
  load.workers[WorkerId("w-a2")].long_running_tasks = 1;
  PlanMoves(fixture.state, fixture.now);
  fixture.state.duties.clear();
  WaveRequest wave;
  wave.number = 3;
  wave.vms = {VmId("a0"), VmId("a1"), VmId("a2")};
  wave.cap = 3;
  wave.duration = std::chrono::seconds(25);
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  REQUIRE(fixture.state.duties.size() == 1);
  CHECK(fixture.state.duties.contains(VmId("a1")));
}

TEST_CASE("A wave is completed only when all VMs that still exist are done",
          "[duties]") {
  // Guards against a wave that is reported as completed because a VM was
  // missing from one list.
  DutyFixture fixture;
  WaveRequest wave;
  wave.number = 3;
  wave.vms = {VmId("spare0"), VmId("spare1")};
  wave.cap = 2;
  ApplyWave(fixture.state, wave, {VmId("spare0")}, fixture.now);
  std::vector<MachineView> without = fixture.machines;
  without.pop_back();
  ApplyMachineList(fixture.state, without, fixture.now);
  CHECK_FALSE(fixture.state.waves.at(3).completed);
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  for (int list = 0; list < 5; ++list) {
    ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  }
  CHECK_FALSE(fixture.state.waves.at(3).completed);
  for (int list = 0; list < kGoneAfterMissingLists; ++list) {
    ApplyMachineList(fixture.state, without, fixture.now);
  }
  CHECK(fixture.state.waves.at(3).completed);
}

TEST_CASE("A load peak gets workers of the spare pool, then of idle pools",
          "[duties]") {
  // Queues have load peaks one after the other, above their pools' capacity.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  int from_spare = 0;
  int from_rest = 0;
  for (const auto& [vm, duty] : fixture.state.duties) {
    CHECK(duty.target == ServiceName("a"));
    from_spare += duty.from == ServiceName("spare") ? 1 : 0;
    from_rest += duty.from == ServiceName("b") ? 1 : 0;
  }
  CHECK(from_spare == 2);
  CHECK(from_rest == 1);
}

TEST_CASE("The arrival rate counts before any job waits", "[duties]") {
  // The load peak of a queue has just begun.
  DutyFixture fixture;
  fixture.state.loads[ServiceName("a")].arriving_millicores = 40000;
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);
}

TEST_CASE("A VM that has just reached the spare pool may leave it",
          "[duties]") {
  // Queues have load peaks one after the other: one pool releases its VMs when
  // the peak of another one begins.
  DutyFixture fixture;
  fixture.state.next_move_at[VmId("spare0")] = fixture.now + kMoveCooldown;
  fixture.state.next_move_at[VmId("spare1")] = fixture.now + kMoveCooldown;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.contains(VmId("spare0")));
  CHECK(fixture.state.duties.contains(VmId("spare1")));
}

TEST_CASE("A VM that was moved to a pool stays there for a while", "[duties]") {
  // Guards against a VM that is moved back and forth between two pools.
  DutyFixture fixture;
  for (const char* vm : {"b0", "b1", "b2", "b3"}) {
    fixture.state.next_move_at[VmId(vm)] = fixture.now + kMoveCooldown;
  }
  fixture.SetLoad("a", 8000, 64000);
  PlanMoves(fixture.state, fixture.now);
  for (const auto& [vm, duty] : fixture.state.duties) {
    CHECK(duty.from == ServiceName("spare"));
  }
}

TEST_CASE("A pool lends its idle VMs before busy ones", "[duties]") {
  // A busy VM must finish its tasks first and accepts work of neither pool
  // meanwhile.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PoolLoad& lender = fixture.state.loads[ServiceName("b")];
  lender.workers[WorkerId("w-b0")].used_millicores = 1000;
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);
  CHECK_FALSE(fixture.state.duties.contains(VmId("b0")));
}

TEST_CASE("A pool lends workers that only late jobs use", "[duties]") {
  // A queue still processes the backlog of its load peak while the next queue's
  // peak begins.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  fixture.SetLoad("b", 8000, 0);
  PoolLoad& lender = fixture.state.loads[ServiceName("b")];

  SECTION("jobs that can meet their deadline keep their workers") {
    PlanMoves(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 2);
  }
  SECTION("late jobs do not") {
    lender.late_millicores = 32000;
    PlanMoves(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 3);
  }
}

TEST_CASE("A pool keeps a worker to which its long-running tasks can move",
          "[duties]") {
  // A wave maintains an idle pool. Guards against a pool that has lent so many
  // VMs that its long-running tasks, each on a separate worker, cannot leave
  // the VMs that are due for upkeep.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PoolLoad& load = fixture.state.loads[ServiceName("b")];
  load.workers[WorkerId("w-b0")].long_running_tasks = 1;
  load.workers[WorkerId("w-b1")].long_running_tasks = 1;

  SECTION("a pool with long-running tasks on all workers asks for no more") {
    // Guards against idle pools that take all spare VMs.
    fixture.SetLoad("a", 0, 0);
    for (auto& [id, worker] : load.workers) {
      worker.long_running_tasks = 1;
    }
    PlanMoves(fixture.state, fixture.now);
    CHECK(fixture.state.duties.empty());
  }
  SECTION("a VM in upkeep does not count") {
    WaveRequest wave;
    wave.number = 3;
    wave.vms = {VmId("b2")};
    wave.cap = 1;
    wave.duration = std::chrono::seconds(25);
    ApplyWave(fixture.state, wave, {}, fixture.now);
    PlanUpkeeps(fixture.state, fixture.now);
    PlanMoves(fixture.state, fixture.now);
    CHECK_FALSE(fixture.state.duties.contains(VmId("b3")));
  }
}

TEST_CASE("Workers with long-running tasks are not moved", "[duties]") {
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  for (auto& [id, worker] : fixture.state.loads[ServiceName("b")].workers) {
    worker.long_running_tasks = 1;
  }
  PlanMoves(fixture.state, fixture.now);
  for (const auto& [vm, duty] : fixture.state.duties) {
    CHECK(duty.from == ServiceName("spare"));
  }
}

TEST_CASE("A worker that ended with a move gets no new tasks", "[duties]") {
  // Guards against starts at a worker that has ended but whose registration has
  // not expired yet.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PlanMoves(fixture.state, fixture.now);
  const auto moving = std::find_if(
      fixture.state.duties.begin(), fixture.state.duties.end(),
      [](const auto& entry) { return entry.second.from == ServiceName("b"); });
  REQUIRE(moving != fixture.state.duties.end());
  const VmId vm = moving->first;
  const WorkerId worker = moving->second.worker;
  fixture.Complete(vm, DutyVerdict::kDone);
  fixture.state.duties.erase(vm);
  CHECK(WorkersToDrain(fixture.state).contains(worker));
  PlanUpkeeps(fixture.state, fixture.now + kRetiredWorkerRetention);
  CHECK_FALSE(WorkersToDrain(fixture.state).contains(worker));
}

TEST_CASE("A new owner delays orders for VMs with a former owner's order",
          "[duties]") {
  // Guards against two owners that send orders for the same VM, and against a
  // pause in all moves after each change of the owner.
  DutyFixture fixture;
  ApplyFormerOrders(fixture.state, {VmId("spare0")});
  fixture.SetLoad("a", 8000, 64000);
  PlanMoves(fixture.state, fixture.now);
  const auto first = fixture.Send();
  CHECK_FALSE(first.empty());
  for (const Duty& duty : first) {
    CHECK(duty.vm != VmId("spare0"));
  }
  CHECK_FALSE(fixture.state.duties.contains(VmId("spare0")));

  fixture.now += kFormerOrderPause;
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).size() >= 1);
  PlanMoves(fixture.state, fixture.now);
  const auto later = fixture.Send();
  REQUIRE(later.size() == 1);
  CHECK(later[0].vm == VmId("spare0"));
}

TEST_CASE("Orders for many VMs are recorded in several transactions",
          "[duties]") {
  // Guards against a transaction that exceeds the store's size limit and is
  // refused on each retry, so that no VM moves.
  DutyFixture fixture;
  for (int number = 2; number < 120; ++number) {
    fixture.Add("spare", number);
  }
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  fixture.SetLoad("a", 8000, 1000000);
  PlanMoves(fixture.state, fixture.now);
  REQUIRE(fixture.state.duties.size() > 100);
  std::size_t sent = 0;
  for (int part = 0; part < 3; ++part) {
    const auto orders = fixture.Send();
    CHECK(orders.size() <= kMaxRecordsPerTransaction);
    sent += orders.size();
  }
  CHECK(sent > 100);
  for (auto& [vm, duty] : fixture.state.duties) {
    duty.phase = DutyPhase::kInProgress;
  }
  fixture.now += kFormerOrderPause;
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).size() ==
        kMaxRecordsPerTransaction);
}

TEST_CASE("An order is sent only after it is recorded", "[duties]") {
  // Guards against an order that the next owner does not know of.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  const auto orders = NextOrders(fixture.state, fixture.now);
  REQUIRE(orders.size() == 2);
  CHECK(NextOrders(fixture.state, fixture.now).empty());
  CHECK(
      ApplyRecordResult(fixture.state, orders, false, fixture.now, fixture.now)
          .empty());
  CHECK(NextOrders(fixture.state, fixture.now).empty());
  fixture.now += kDutyRetryDelay;
  CHECK(fixture.Send().size() == 2);
  // The record stays while the order has no answer, and for
  // kFormerOrderPause after it was stored.
  fixture.now += kFormerOrderPause;
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).empty());
  for (const Duty& duty : orders) {
    ApplyOrderReply(fixture.state, duty.vm, DutyVerdict::kDone, fixture.now);
  }
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).size() == 2);
}

TEST_CASE("A recorded order is not sent after a pause", "[duties]") {
  // Guards against a process that was paused between the record and the order,
  // and then moves a VM for which the next owner has other plans.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  const auto orders = NextOrders(fixture.state, fixture.now);
  REQUIRE(orders.size() == 2);
  const TimePoint recorded_at = fixture.now;
  fixture.now += kRecordValidity;
  CHECK(ApplyRecordResult(fixture.state, orders, true, recorded_at, fixture.now)
            .empty());
  // The orders are recorded again under the fence, which fails at a former
  // owner.
  fixture.now += kDutyRetryDelay;
  CHECK(fixture.Send().size() == 2);
}

TEST_CASE("VMs that a former owner sent to upkeep count towards the cap",
          "[duties]") {
  // Guards against exceeding the cap of down VMs after a change of the owner.
  DutyFixture fixture;
  for (MachineView& machine : fixture.machines) {
    if (machine.vm == VmId("a0")) {
      machine.state = MachineState::kUpkeep;
    }
  }
  ApplyMachineList(fixture.state, fixture.machines, fixture.now);
  ApplyFormerOrders(fixture.state, {VmId("b0")});
  WaveRequest wave;
  wave.number = 3;
  for (const MachineView& machine : fixture.machines) {
    wave.vms.push_back(machine.vm);
  }
  wave.cap = 3;
  wave.duration = std::chrono::seconds(25);
  ApplyWave(fixture.state, wave, {}, fixture.now);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 1);
}

TEST_CASE("A pool's load is decoded as it was encoded", "[duties]") {
  PoolLoad load;
  load.fence = 9;
  load.waiting_millicores = 1234;
  load.late_millicores = 55;
  load.arriving_millicores = 777;
  load.workers[WorkerId("w")] = {500, 2};
  CHECK(DecodePoolLoad(EncodePoolLoad(load)) == load);
  CHECK_FALSE(DecodePoolLoad("{}").has_value());
  CHECK_FALSE(DecodePoolLoad("x").has_value());
}

}  // namespace
}  // namespace fireflythread::test
