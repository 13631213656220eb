#include "fireflythread/tasks/task_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <variant>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/tasks/task_codec.h"
#include "fireflythread/tasks/task_step.h"

namespace fireflythread {
namespace {

using std::chrono::seconds;

/// Simulates workers that follow the platform's task protocol, with a virtual
/// clock.
struct SimulatedCell {
  ConfigSnapshot config;
  FleetView fleet;
  std::map<TaskId, TaskRecord> tasks;
  std::map<TaskId, WorkerTaskReport> reports;
  std::map<TaskId, TimePoint> lease_expiries;
  std::map<TaskId, TimePoint> done_at;
  std::set<VmId> dead;
  std::set<VmId> failing;
  std::set<VmId> lost;
  TaskMemory memory;
  TimePoint now{seconds(500)};
  Duration run_time = seconds(20);
  int runs = 0;
  std::size_t max_rows_per_transaction = 0;
  std::size_t max_transactions = 0;
  bool reports_lag = false;
};

auto MakeCell(int vms) -> SimulatedCell {
  SimulatedCell cell;
  cell.config.pools[PoolName("p")].name = PoolName("p");
  ServiceSpec& service = cell.config.services[ServiceName("s")];
  service.pool = PoolName("p");
  for (int i = 0; i < vms; ++i) {
    VmRecord record;
    record.id = VmId("worker-" + std::to_string(i));
    record.pool = PoolName("p");
    record.cores = 8;
    record.memory_mb = 1000;
    cell.fleet.vms[record.id] = record;
  }
  return cell;
}

auto Submit(SimulatedCell& cell, const std::string& id) -> TaskRecord& {
  TaskRecord& task = cell.tasks[TaskId(id)];
  task.id = TaskId(id);
  task.version = 1;
  task.service = ServiceName("s");
  return task;
}

auto RunCommand(SimulatedCell& cell, const WorkerTaskCommand& command) -> void {
  if (cell.dead.contains(command.vm)) {
    return;
  }
  WorkerTaskReport& report = cell.reports[command.task];
  REQUIRE(command.fence >= report.fence);
  const TimePoint lease_end = cell.now + command.lease;
  switch (command.kind) {
    case WorkerTaskCommandKind::kRun:
      if (report.fence == command.fence) {
        return;
      }
      // The purpose of leases: at most one run of a task at a time.
      REQUIRE((!cell.lease_expiries.contains(command.task) ||
               cell.lease_expiries.at(command.task) <= cell.now ||
               report.state != WorkerTaskState::kRunning));
      ++cell.runs;
      report = {command.task,
                command.vm,
                command.fence,
                cell.failing.contains(command.vm) ? WorkerTaskState::kFailed
                                                  : WorkerTaskState::kRunning,
                0,
                "",
                ""};
      cell.lease_expiries[command.task] = lease_end;
      cell.done_at[command.task] = cell.now + cell.run_time;
      break;
    case WorkerTaskCommandKind::kRenew:
      cell.lease_expiries[command.task] = lease_end;
      break;
    case WorkerTaskCommandKind::kCheckpoint:
      report.state = WorkerTaskState::kCheckpointed;
      report.checkpoint = "checkpoint/" + command.task.value;
      break;
    case WorkerTaskCommandKind::kStop:
      report.state = WorkerTaskState::kStopped;
      break;
    case WorkerTaskCommandKind::kThrottle:
      break;
  }
}

auto AdvanceWorkers(SimulatedCell& cell) -> void {
  for (auto& [id, report] : cell.reports) {
    if (report.state != WorkerTaskState::kRunning) {
      continue;
    }
    if (cell.now >= cell.lease_expiries.at(id)) {
      report.state = cell.dead.contains(report.vm)
                         ? WorkerTaskState::kRunning
                         : WorkerTaskState::kLeaseExpired;
    } else if (cell.now >= cell.done_at.at(id) &&
               !cell.dead.contains(report.vm)) {
      report.state = WorkerTaskState::kDone;
      report.result = "result/" + id.value;
    }
  }
}

auto Step(SimulatedCell& cell) -> TaskDecision {
  cell.now += std::chrono::milliseconds(250);
  AdvanceWorkers(cell);
  TaskInputs inputs;
  inputs.config = &cell.config;
  inputs.fleet = &cell.fleet;
  inputs.tasks = &cell.tasks;
  inputs.lost = cell.lost;
  inputs.now = cell.now;
  inputs.reports.emplace();
  for (const auto& [id, report] : cell.reports) {
    inputs.reports->push_back(report);
  }
  TaskDecision decision = DecideTasks(inputs, cell.memory);
  for (const WorkerTaskCommand& command : decision.commands) {
    RunCommand(cell, command);
    RecordCommandResult(cell.memory, command.task, command.fence,
                        !cell.dead.contains(command.vm), cell.now);
  }
  cell.max_transactions =
      std::max(cell.max_transactions, decision.transactions.size());
  for (const Transaction& transaction : decision.transactions) {
    cell.max_rows_per_transaction =
        std::max(cell.max_rows_per_transaction, transaction.writes.size());
    for (const Write& write : transaction.writes) {
      TaskRecord& task = cell.tasks.at(TaskId(write.key));
      task = std::get<TaskRecord>(DecodeTaskRecord(
          {write.table, write.key, task.version + 1, *write.value}));
    }
  }
  return decision;
}

auto RunFor(SimulatedCell& cell, Duration duration) -> void {
  const TimePoint end = cell.now + duration;
  while (cell.now < end) {
    Step(cell);
  }
}

auto CountState(const SimulatedCell& cell, TaskState state) -> int {
  return static_cast<int>(std::count_if(
      cell.tasks.begin(), cell.tasks.end(),
      [state](const auto& t) { return t.second.state == state; }));
}

}  // namespace

// Guards against lost tasks, and against tasks that occupy all slots of a
// worker, so that none remains for requests.
TEST_CASE("queued tasks run within their share of slots and finish") {
  SimulatedCell cell = MakeCell(2);
  for (int i = 0; i < 10; ++i) {
    Submit(cell, "t" + std::to_string(i));
  }
  RunFor(cell, seconds(5));
  CHECK(CountState(cell, TaskState::kRunning) == 4);
  RunFor(cell, seconds(100));
  CHECK(CountState(cell, TaskState::kDone) == 10);
  CHECK(cell.runs == 10);
  CHECK(cell.tasks.at(TaskId("t0")).result == "result/t0");
}

// Guards against a task that stays with a dead worker, and against a second run
// before the lease of the first one has expired.
TEST_CASE("a lost worker's task is leased again after its lease expired") {
  SimulatedCell cell = MakeCell(2);
  Submit(cell, "t");
  RunFor(cell, seconds(3));
  const VmId worker = cell.tasks.at(TaskId("t")).worker;
  cell.dead.insert(worker);
  cell.fleet.vms.at(worker).state = VmState::kFailed;
  RunFor(cell, seconds(40));
  const TaskRecord& task = cell.tasks.at(TaskId("t"));
  CHECK(task.state == TaskState::kDone);
  CHECK(task.worker != worker);
  CHECK(task.fence == 2);
  CHECK(cell.runs == 2);
}

// Guards against a lease that is renewed forever although the platform lists
// the worker but cannot reach it, and against placing the task there again.
TEST_CASE("an unresponsive worker's task is leased to another worker") {
  SimulatedCell cell = MakeCell(2);
  Submit(cell, "t");
  RunFor(cell, seconds(3));
  const VmId worker = cell.tasks.at(TaskId("t")).worker;
  cell.dead.insert(worker);
  RunFor(cell, seconds(45));
  const TaskRecord& task = cell.tasks.at(TaskId("t"));
  CHECK(task.state == TaskState::kDone);
  CHECK(task.worker != worker);
  CHECK(task.failed_on.empty());
  CHECK(cell.runs == 2);
}

// Guards against work that is lost or repeated when a VM drains for
// maintenance.
TEST_CASE("a task is checkpointed and moved when its VM drains") {
  SimulatedCell cell = MakeCell(2);
  Submit(cell, "t");
  RunFor(cell, seconds(3));
  const VmId worker = cell.tasks.at(TaskId("t")).worker;
  CHECK(VmsWithTasks(cell.tasks).contains(worker));
  cell.fleet.vms.at(worker).state = VmState::kDraining;
  RunFor(cell, seconds(8));
  const TaskRecord& task = cell.tasks.at(TaskId("t"));
  CHECK(task.state == TaskState::kRunning);
  CHECK(task.worker != worker);
  CHECK(task.checkpoint == "checkpoint/t");
  CHECK_FALSE(VmsWithTasks(cell.tasks).contains(worker));
}

// Guards against a burst of cancellations that is written in one huge
// transaction or that delays the lease renewals of other tasks.
TEST_CASE("a burst of cancellations is handled in bounded transactions") {
  SimulatedCell cell = MakeCell(200);
  cell.run_time = seconds(1000);
  for (int i = 0; i < 1000; ++i) {
    Submit(cell, "t" + std::to_string(i));
  }
  RunFor(cell, seconds(10));
  REQUIRE(CountState(cell, TaskState::kRunning) == 400);
  for (auto& [id, task] : cell.tasks) {
    if (id != TaskId("t0")) {
      task.state = TaskState::kCancelling;
      ++task.version;
    }
  }
  RunFor(cell, seconds(15));
  CHECK(CountState(cell, TaskState::kCancelled) == 999);
  CHECK(cell.tasks.at(TaskId("t0")).state == TaskState::kRunning);
  CHECK(cell.tasks.at(TaskId("t0")).fence == 1);
  CHECK(cell.max_rows_per_transaction <= 16);
  CHECK(cell.max_transactions <= 4);
}

// Guards against retrying a task forever that fails on every worker.
TEST_CASE("a task that failed on three workers is not run again") {
  SimulatedCell cell = MakeCell(5);
  for (const auto& [id, record] : cell.fleet.vms) {
    cell.failing.insert(id);
  }
  Submit(cell, "t");
  RunFor(cell, seconds(60));
  const TaskRecord& task = cell.tasks.at(TaskId("t"));
  CHECK(task.state == TaskState::kNeverRuns);
  CHECK(std::set<VmId>(task.failed_on.begin(), task.failed_on.end()).size() ==
        3);
  CHECK_FALSE(task.reason.empty());
  CHECK(cell.runs == 3);
}

// Guards against a worker that fails every task and gets all tasks, because it
// always has the fewest.
TEST_CASE("a worker that fails many tasks is reported and gets no more") {
  SimulatedCell cell = MakeCell(4);
  cell.failing.insert(VmId("worker-0"));
  for (int i = 0; i < 20; ++i) {
    Submit(cell, "t" + std::to_string(i));
  }
  RunFor(cell, seconds(30));
  const TaskDecision decision = Step(cell);
  REQUIRE(decision.failing_workers.size() == 1);
  CHECK(decision.failing_workers[0].vm == VmId("worker-0"));
  RunFor(cell, seconds(120));
  CHECK(CountState(cell, TaskState::kDone) == 20);
  CHECK(cell.runs <= 24);
}

// Guards against a task that waits forever for a worker of its declared size.
TEST_CASE("a task larger than every worker never runs") {
  SimulatedCell cell = MakeCell(2);
  Submit(cell, "t").cores = 9;
  RunFor(cell, seconds(1));
  CHECK(cell.tasks.at(TaskId("t")).state == TaskState::kNeverRuns);
}

// Guards against a new controller that leases a task again while a worker still
// holds the lease that the previous controller renewed.
TEST_CASE("a new controller waits until leases of its predecessor expire") {
  SimulatedCell cell = MakeCell(2);
  cell.run_time = seconds(60);
  Submit(cell, "t");
  RunFor(cell, seconds(6));
  const VmId worker = cell.tasks.at(TaskId("t")).worker;
  cell.memory = {};
  cell.dead.insert(worker);
  cell.fleet.vms.erase(worker);
  RunFor(cell, seconds(9));
  CHECK(cell.runs == 1);
  RunFor(cell, seconds(10));
  CHECK(cell.runs == 2);
}

}  // namespace fireflythread
