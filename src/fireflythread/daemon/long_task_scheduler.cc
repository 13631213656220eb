#include "fireflythread/daemon/long_task_scheduler.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/lease/lease.h"
#include "fireflythread/lease/lease_state.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/worker_task_command.h"
#include "fireflythread/tasks/task_codec.h"
#include "fireflythread/tasks/task_inputs.h"
#include "fireflythread/tasks/task_scheduler.h"
#include "fireflythread/tasks/task_step.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "tasks";

}  // namespace

LongTaskScheduler::LongTaskScheduler(Dependencies dependencies)
    : deps(dependencies) {}

auto LongTaskScheduler::BeginTerm() -> void {
  ++this->term;
  this->memory = TaskMemory{};
  this->tasks.clear();
  this->reports.reset();
  this->last_step.reset();
  this->scanned_revision = 0;
  this->reading_rows = false;
  this->reading_reports = false;
  this->committing = false;
  this->rows_current = false;
}

auto LongTaskScheduler::BusyVms() const -> std::set<VmId> {
  return VmsWithTasks(this->tasks);
}

auto LongTaskScheduler::HasRead() const -> bool {
  return this->scanned_revision > 0;
}

auto LongTaskScheduler::Step(const std::set<VmId>& lost) -> void {
  const TimePoint now = ReadBootClock();
  if (this->last_step &&
      now - *this->last_step < this->deps.settings.platform.task_poll) {
    return;
  }
  if (this->committing) {
    return;
  }
  this->last_step = now;
  if (this->rows_current) {
    this->Decide(lost);
  }
  this->ReadRows();
  this->ReadReports();
}

auto LongTaskScheduler::ReadRows() -> void {
  if (this->reading_rows) {
    return;
  }
  this->reading_rows = true;
  this->deps.platform.Scan(std::string(kTaskTable), this->scanned_revision,
                           this->deps.settings.platform.read_timeout,
                           [this, asked_in = this->term](auto result) {
                             if (asked_in != this->term) {
                               return;
                             }
                             this->reading_rows = false;
                             const auto* scan =
                                 std::get_if<ScanResult>(&result);
                             if (scan == nullptr) {
                               return;
                             }
                             this->TakeRows(scan->rows);
                             for (const std::string& key : scan->deleted) {
                               this->tasks.erase(TaskId(key));
                             }
                             this->scanned_revision = scan->revision;
                             this->rows_current = true;
                           });
}

auto LongTaskScheduler::TakeRows(const std::vector<Row>& rows) -> void {
  for (const Row& row : rows) {
    auto decoded = DecodeTaskRecord(row);
    auto* record = std::get_if<TaskRecord>(&decoded);
    if (record == nullptr) {
      this->deps.logger.Error(
          kComponent, "task_row_malformed",
          {{"key", row.key}, {"reason", std::get<RowError>(decoded).reason}});
    } else if (IsFinal(record->state)) {
      this->tasks.erase(record->id);
    } else {
      this->tasks.insert_or_assign(record->id, std::move(*record));
    }
  }
}

auto LongTaskScheduler::ReadReports() -> void {
  if (this->reading_reports || this->tasks.empty()) {
    return;
  }
  this->reading_reports = true;
  this->deps.platform.ListTaskReports(
      this->deps.settings.platform.read_timeout,
      [this, asked_in = this->term](auto result) {
        if (asked_in != this->term) {
          return;
        }
        this->reading_reports = false;
        auto* read = std::get_if<std::vector<WorkerTaskReport>>(&result);
        if (read != nullptr) {
          this->reports = std::move(*read);
        } else {
          this->reports.reset();
        }
      });
}

auto LongTaskScheduler::Decide(const std::set<VmId>& lost) -> void {
  const std::optional<std::uint64_t> token =
      FencingToken(this->deps.lease, ReadBootClock());
  if (!token) {
    return;
  }
  TaskInputs inputs;
  const ControlState& control_state = this->deps.state.Current();
  inputs.config = control_state.config.get();
  inputs.fleet = control_state.fleet.get();
  inputs.tasks = &this->tasks;
  inputs.reports = this->reports;
  inputs.lost = lost;
  inputs.epoch = *token;
  inputs.epoch_row_version = FenceCondition(this->deps.lease, ReadBootClock())
                                 .value_or(Condition())
                                 .version;
  inputs.now = ReadBootClock();
  TaskDecision decision = DecideTasks(inputs, this->memory);
  for (const FailingWorker& worker : decision.failing_workers) {
    this->deps.logger.Warning(kComponent, "worker_fails_tasks",
                              {{"vm", worker.vm}, {"tasks", worker.tasks}});
  }
  this->SendCommands(decision.commands);
  this->Commit(std::move(decision.transactions));
}

auto LongTaskScheduler::Commit(std::vector<Transaction> transactions) -> void {
  if (transactions.empty()) {
    return;
  }
  this->committing = true;
  // The rows are read again before the next step, whatever the outcome.
  this->rows_current = false;
  this->deps.platform.CommitBatch(
      std::move(transactions), this->deps.settings.platform.commit_timeout,
      [this, asked_in = this->term](const auto& outcomes) {
        if (asked_in != this->term) {
          return;
        }
        this->committing = false;
        for (const TransactionOutcome& outcome : outcomes) {
          if (const auto* failed = std::get_if<NotCommitted>(&outcome)) {
            this->deps.logger.Warning(kComponent, "task_write_failed",
                                      {{"reason", failed->reason}});
          }
        }
        this->ReadRows();
      });
}

auto LongTaskScheduler::SendCommands(
    const std::vector<WorkerTaskCommand>& commands) -> void {
  for (const WorkerTaskCommand& command : commands) {
    this->deps.platform.CommandTask(
        command, this->deps.settings.platform.commit_timeout,
        [this, vm = command.vm, task = command.task, fence = command.fence,
         asked_in = this->term](auto result) {
          const auto* error = std::get_if<PlatformError>(&result);
          if (asked_in == this->term) {
            RecordCommandResult(this->memory, task, fence, error == nullptr,
                                ReadBootClock());
          }
          if (error != nullptr) {
            this->deps.logger.Warning(
                kComponent, "task_command_failed",
                {{"vm", vm}, {"task", task}, {"reason", error->reason}});
          }
        });
  }
}

}  // namespace fireflythread
