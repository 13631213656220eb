#include "fireflythread/tasks/task_scheduler.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "fireflythread/tasks/task_codec.h"
#include "fireflythread/tasks/task_placement.h"
#include "fireflythread/tasks/task_step.h"

namespace fireflythread {
namespace {

using ReportIndex = std::map<TaskId, const WorkerTaskReport*>;

/// Maps each task to its report with the highest fencing token.
auto IndexReports(const TaskInputs& inputs) -> ReportIndex {
  ReportIndex index;
  if (!inputs.reports.has_value()) {
    return index;
  }
  for (const WorkerTaskReport& report : *inputs.reports) {
    const WorkerTaskReport*& known = index[report.task];
    if (known == nullptr || known->fence < report.fence) {
      known = &report;
    }
  }
  return index;
}

/// Returns the report of the current lease; null when there is none. Reports
/// with an older fencing token belong to a lease that was revoked.
auto FindReport(const ReportIndex& index, const TaskRecord& task)
    -> const WorkerTaskReport* {
  const auto found = index.find(task.id);
  const bool current = found != index.end() &&
                       found->second->fence == task.fence &&
                       found->second->vm == task.worker;
  return current ? found->second : nullptr;
}

/// Advances a task without a worker. Returns the changed record, or no value
/// when the task stays queued.
auto StepUnleasedTask(const TaskInputs& inputs,
                      const TaskRecord& task,
                      TaskPlacement& placement) -> std::optional<TaskRecord> {
  TaskRecord next = task;
  if (task.state == TaskState::kCancelling) {
    next.state = TaskState::kCancelled;
    return next;
  }
  next.reason = UnplaceableReason(inputs, task);
  if (!next.reason.empty()) {
    next.state = TaskState::kNeverRuns;
    return next;
  }
  const std::optional<VmId> vm = PlaceTask(inputs, task, placement);
  if (!vm.has_value()) {
    return std::nullopt;
  }
  next.state = TaskState::kRunning;
  next.worker = *vm;
  next.fence = task.fence + 1;
  next.lease_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(inputs.limits.lease)
          .count();
  return next;
}

/// Returns the tasks in the order in which they are handled: cancellations
/// first, because they free slots, then the oldest.
auto TasksByPriority(const TaskInputs& inputs)
    -> std::vector<const TaskRecord*> {
  std::vector<const TaskRecord*> tasks;
  for (const auto& [id, task] : *inputs.tasks) {
    if (!IsFinal(task.state)) {
      tasks.push_back(&task);
    }
  }
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](const TaskRecord* left, const TaskRecord* right) {
                     return std::tuple(left->state != TaskState::kCancelling,
                                       left->submitted_at_ms) <
                            std::tuple(right->state != TaskState::kCancelling,
                                       right->submitted_at_ms);
                   });
  return tasks;
}

/// Adds a row to the last transaction, or to a new one when the last is full.
auto AddRow(const TaskInputs& inputs,
            const TaskMemory& memory,
            const TaskRecord& record,
            TaskDecision& decision) -> void {
  const auto rows =
      static_cast<std::size_t>(inputs.limits.rows_per_transaction);
  if (decision.transactions.empty() ||
      decision.transactions.back().writes.size() >= rows) {
    Transaction transaction;
    transaction.nonce = "tasks/" + std::to_string(inputs.epoch) + "/" +
                        std::to_string(memory.steps) + "/" +
                        std::to_string(decision.transactions.size());
    transaction.conditions.push_back(
        {"lease", "controller_epoch", inputs.epoch_row_version});
    decision.transactions.push_back(std::move(transaction));
  }
  Transaction& transaction = decision.transactions.back();
  const std::string table(kTaskTable);
  transaction.conditions.push_back({table, record.id.value, record.version});
  transaction.writes.push_back(
      {table, record.id.value, EncodeTaskRecord(record)});
}

auto IsFull(const TaskInputs& inputs, const TaskDecision& decision) -> bool {
  return decision.transactions.size() >=
             static_cast<std::size_t>(inputs.limits.transactions_per_step) &&
         decision.transactions.back().writes.size() >=
             static_cast<std::size_t>(inputs.limits.rows_per_transaction);
}

auto ReportFailingWorkers(const TaskInputs& inputs,
                          const TaskMemory& memory,
                          TaskDecision& decision) -> void {
  for (const auto& [vm, failures] : memory.failures) {
    if (IsPaused(failures, inputs.now)) {
      decision.failing_workers.push_back(
          {vm, static_cast<int>(failures.failed.size())});
    }
  }
}

auto RemoveFinishedTimers(const TaskInputs& inputs, TaskMemory& memory)
    -> void {
  std::erase_if(memory.timers, [&inputs](const auto& timer) {
    const auto task = inputs.tasks->find(timer.first);
    return task == inputs.tasks->end() || task->second.worker.empty() ||
           IsFinal(task->second.state);
  });
}

}  // namespace

auto DecideTasks(const TaskInputs& inputs, TaskMemory& memory) -> TaskDecision {
  TaskDecision decision;
  ++memory.steps;
  RemoveFinishedTimers(inputs, memory);
  const ReportIndex reports = IndexReports(inputs);
  TaskPlacement placement = MakeTaskPlacement(inputs, memory);
  for (const TaskRecord* task : TasksByPriority(inputs)) {
    task->worker.empty() ? ++decision.queued : ++decision.running;
    const bool full = IsFull(inputs, decision);
    std::optional<TaskRecord> next;
    if (!task->worker.empty()) {
      // Leased tasks are stepped even when the step's transactions are full, so
      // that a burst of changes does not stop lease renewals.
      next = StepLeasedTask(inputs, *task, FindReport(reports, *task), memory,
                            decision);
    } else if (!full) {
      next = StepUnleasedTask(inputs, *task, placement);
    }
    if (next.has_value() && !full) {
      AddRow(inputs, memory, *next, decision);
    }
  }
  ReportFailingWorkers(inputs, memory, decision);
  return decision;
}

auto VmsWithTasks(const std::map<TaskId, TaskRecord>& tasks) -> std::set<VmId> {
  std::set<VmId> vms;
  for (const auto& [id, task] : tasks) {
    if (!task.worker.empty() && !IsFinal(task.state)) {
      vms.insert(task.worker);
    }
  }
  return vms;
}

}  // namespace fireflythread
