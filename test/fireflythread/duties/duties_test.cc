#include "fireflythread/duties/duties.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "fireflythread/duties/duty_limits.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

/// Pools "a" and "b" of four VMs each and a spare pool of two, with VMs "a0",
/// "a1" and so on, whose workers are "w-a0" and so on.
class DutyFixture {
 public:
  DutyFixture() {
    this->state.owned_since = this->now;
    this->state.spare_pool = ServiceName("spare");
    this->state.pools = {ServiceName("a"), ServiceName("b")};
    for (int number = 0; number < 4; ++number) {
      this->Add("a", number);
      this->Add("b", number);
    }
    this->Add("spare", 0);
    this->Add("spare", 1);
    ApplyMachineList(this->state, this->machines, this->now);
    this->SetLoad("a", 0, 0);
    this->SetLoad("b", 0, 0);
  }

  auto Add(const std::string& pool, int number) -> void {
    MachineView machine;
    machine.vm = VmId(pool + std::to_string(number));
    machine.pool = ServiceName(pool);
    machine.capacity = {8000, 16000, 0};
    machine.worker = WorkerId("w-" + machine.vm.value);
    this->machines.push_back(machine);
  }

  /// Each worker of the pool uses `used` and the pool's queue waits for
  /// `waiting` thousandths of a core.
  auto SetLoad(const std::string& pool, std::int64_t used, std::int64_t waiting)
      -> void {
    PoolLoad& load = this->state.loads[ServiceName(pool)];
    load.waiting_millicores = waiting;
    for (int number = 0; number < 4; ++number) {
      load.workers[WorkerId("w-" + pool + std::to_string(number))] = {used, 0};
    }
  }

  /// The duty's worker is empty, the order is sent and answered.
  auto Complete(const VmId& vm, DutyVerdict verdict) -> void {
    ApplyDrained(this->state, {this->state.duties.at(vm).worker}, this->now);
    (void)this->Send();
    ApplyOrderReply(this->state, vm, verdict, this->now);
  }

  /// Records the orders whose turn has come and gives those that are sent.
  auto Send() -> std::vector<Duty> {
    return ApplyRecordResult(this->state, NextOrders(this->state, this->now),
                             true, this->now);
  }

  DutyState state;
  std::vector<MachineView> machines;
  TimePoint now{std::chrono::hours(1)};
};

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

TEST_CASE("A wave with time to lose leaves a pool in its peak alone",
          "[duties]") {
  // The load of a wave declared while one queue has its peak.
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

  // Guards against a wave that is late because the peak lasts.
  fixture.now += std::chrono::seconds(9);
  PlanUpkeeps(fixture.state, fixture.now);
  CHECK(fixture.state.duties.contains(VmId("a0")));
}

TEST_CASE("A wave through most of a pool does not wait for its peak",
          "[duties]") {
  // Guards against a wave of racks that is late, as one pool has most of its
  // VMs and only a few of them may be away at a time.
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

TEST_CASE("VMs with lasting tasks are emptied also during a peak", "[duties]") {
  // The load of a wave of racks declared while one queue has its peak: guards
  // against a wave that is late as its last VMs leave one by one.
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

TEST_CASE("A wave is completed only when each VM that stays is done",
          "[duties]") {
  // Guards against a wave reported as completed because one list missed a VM.
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

TEST_CASE("A peak gets workers of the spare pool, then of pools at rest",
          "[duties]") {
  // The load of queues that peak by turns, above what their pool holds.
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

TEST_CASE("Work that arrives counts before it waits", "[duties]") {
  // The load of a queue whose peak has just begun.
  DutyFixture fixture;
  fixture.state.loads[ServiceName("a")].arriving_millicores = 40000;
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);
}

TEST_CASE("A VM that has just reached the spare pool may leave it",
          "[duties]") {
  // The load of queues that peak by turns: one pool releases its VMs as the
  // peak of another one begins.
  DutyFixture fixture;
  fixture.state.next_move_at[VmId("spare0")] = fixture.now + kMoveCooldown;
  fixture.state.next_move_at[VmId("spare1")] = fixture.now + kMoveCooldown;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.contains(VmId("spare0")));
  CHECK(fixture.state.duties.contains(VmId("spare1")));
}

TEST_CASE("A VM that was moved to a pool stays there for a while", "[duties]") {
  // Guards against a VM that spends its time on the way between two pools.
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
  // A busy VM has to finish its tasks first and serves neither pool as it does.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PoolLoad& lender = fixture.state.loads[ServiceName("b")];
  lender.workers[WorkerId("w-b0")].used_millicores = 1000;
  PlanMoves(fixture.state, fixture.now);
  CHECK(fixture.state.duties.size() == 3);
  CHECK_FALSE(fixture.state.duties.contains(VmId("b0")));
}

TEST_CASE("A pool lends what only late work uses", "[duties]") {
  // The load of a queue that still works off what its peak left, while the
  // next queue's peak begins.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  fixture.SetLoad("b", 8000, 0);
  PoolLoad& lender = fixture.state.loads[ServiceName("b")];

  SECTION("work that can be in time keeps its workers") {
    PlanMoves(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 2);
  }
  SECTION("late work does not") {
    lender.late_millicores = 32000;
    PlanMoves(fixture.state, fixture.now);
    CHECK(fixture.state.duties.size() == 3);
  }
}

TEST_CASE("A pool keeps a worker to which its lasting tasks can move",
          "[duties]") {
  // The load of a wave through a pool at rest: guards against a pool that lent
  // so many VMs that its lasting tasks, each on a worker of its own, cannot
  // leave those that are due.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 64000);
  PoolLoad& load = fixture.state.loads[ServiceName("b")];
  load.workers[WorkerId("w-b0")].long_running_tasks = 1;
  load.workers[WorkerId("w-b1")].long_running_tasks = 1;

  SECTION("a pool with lasting tasks on all workers asks for no more") {
    // Guards against pools at rest that hoard the spare VMs.
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

TEST_CASE("Workers with lasting tasks are not moved", "[duties]") {
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

TEST_CASE("A worker that ended with a move stays out of use", "[duties]") {
  // Guards against starts to an entry that has not lapsed yet.
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

TEST_CASE("A new owner leaves VMs alone that the former one may have ordered",
          "[duties]") {
  // Guards against two holders that take turns at one VM, and against a pause
  // in all moves after each change of the owner.
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

TEST_CASE("Orders to many VMs are recorded in parts", "[duties]") {
  // Guards against a transaction that the store refuses for its size, over and
  // over, while no VM moves.
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

TEST_CASE("An order is sent only when it is recorded", "[duties]") {
  // Guards against an order of which the next owner knows nothing.
  DutyFixture fixture;
  fixture.SetLoad("a", 8000, 16000);
  PlanMoves(fixture.state, fixture.now);
  const auto orders = NextOrders(fixture.state, fixture.now);
  REQUIRE(orders.size() == 2);
  CHECK(NextOrders(fixture.state, fixture.now).empty());
  CHECK(ApplyRecordResult(fixture.state, orders, false, fixture.now).empty());
  CHECK(NextOrders(fixture.state, fixture.now).empty());
  fixture.now += kDutyRetryDelay;
  CHECK(fixture.Send().size() == 2);
  // The record stays while the order has no answer, and a pause beyond it.
  fixture.now += kFormerOrderPause;
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).empty());
  for (const Duty& duty : orders) {
    ApplyOrderReply(fixture.state, duty.vm, DutyVerdict::kDone, fixture.now);
  }
  CHECK(RemoveExpiredRecords(fixture.state, fixture.now).size() == 2);
}

TEST_CASE("VMs that a former owner sent to their upkeep count to the cap",
          "[duties]") {
  // Guards against more VMs down than the cap after a change of the owner.
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

TEST_CASE("A pool's load is read as it is written", "[duties]") {
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
