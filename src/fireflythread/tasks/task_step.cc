#include "fireflythread/tasks/task_step.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/platform/worker_task_report.h"
#include "fireflythread/tasks/task_decision.h"
#include "fireflythread/tasks/task_inputs.h"
#include "fireflythread/tasks/task_memory.h"

namespace fireflythread {
namespace {

enum class WorkerCondition { kServing, kDraining, kLost };

auto FindCondition(const TaskInputs& inputs, const VmId& vm)
    -> WorkerCondition {
  const auto record = inputs.fleet->vms.find(vm);
  if (record == inputs.fleet->vms.end()) {
    return WorkerCondition::kLost;
  }
  switch (record->second.state) {
    case VmState::kServing:
      return inputs.lost.contains(vm) ? WorkerCondition::kDraining
                                      : WorkerCondition::kServing;
    case VmState::kDraining:
    case VmState::kDrained:
      return WorkerCondition::kDraining;
    case VmState::kRebooting:
    case VmState::kVerifying:
    case VmState::kFailed:
      return WorkerCondition::kLost;
  }
  return WorkerCondition::kLost;
}

auto TimerOf(const TaskInputs& inputs,
             const TaskRecord& task,
             TaskMemory& memory) -> TaskTimer& {
  TaskTimer& timer = memory.timers[task.id];
  if (timer.fence != task.fence) {
    timer = {task.fence, inputs.now, {}, {}, {}};
  }
  return timer;
}

/// Returns true when the lease has expired, so that the worker has stopped the
/// task: no worker continues for longer than its lease without a renewal.
auto HasLeaseExpired(const TaskInputs& inputs,
                     const TaskRecord& task,
                     const TaskTimer& timer) -> bool {
  const Duration lease = std::max<Duration>(
      inputs.limits.lease, std::chrono::milliseconds(task.lease_ms));
  return inputs.now - timer.last_renewed >= lease;
}

/// Adds a command to the decision, unless the interval since the last command
/// of the lease has not passed yet.
auto SendCommand(const TaskInputs& inputs,
                 const TaskRecord& task,
                 TaskTimer& timer,
                 WorkerTaskCommandKind kind,
                 TaskDecision& decision) -> void {
  const Duration interval = kind == WorkerTaskCommandKind::kRenew
                                ? inputs.limits.renew_interval
                                : inputs.limits.command_interval;
  if (timer.last_command.has_value() &&
      inputs.now - *timer.last_command < interval) {
    return;
  }
  timer.last_command = inputs.now;
  WorkerTaskCommand command;
  command.vm = task.worker;
  command.task = task.id;
  command.kind = kind;
  command.fence = task.fence;
  command.lease = std::chrono::milliseconds(task.lease_ms);
  if (kind == WorkerTaskCommandKind::kRun) {
    command.body = task.body;
    command.checkpoint = task.checkpoint;
  }
  if (kind == WorkerTaskCommandKind::kRun ||
      kind == WorkerTaskCommandKind::kRenew) {
    timer.last_renewed = inputs.now;
  }
  decision.commands.push_back(std::move(command));
}

/// Ends the lease: returns the task to the queue, or cancels it if that was
/// requested. The next placement increments the fencing token.
auto Requeue(TaskRecord task) -> TaskRecord {
  task.state = task.state == TaskState::kCancelling ? TaskState::kCancelled
                                                    : TaskState::kQueued;
  task.worker = VmId();
  return task;
}

/// Records the failure and returns the task's record after it: queued again, or
/// in state kNeverRuns if too many workers have failed it.
auto ApplyTaskFailure(const TaskInputs& inputs,
                      TaskRecord task,
                      TaskMemory& memory) -> TaskRecord {
  RecordTaskFailure(memory.failures[task.worker], task.id, inputs.limits,
                    inputs.now);
  if (std::find(task.failed_on.begin(), task.failed_on.end(), task.worker) ==
      task.failed_on.end()) {
    task.failed_on.push_back(task.worker);
  }
  TaskRecord next = Requeue(std::move(task));
  if (next.state == TaskState::kQueued &&
      static_cast<int>(next.failed_on.size()) >=
          inputs.limits.max_failed_workers) {
    next.state = TaskState::kNeverRuns;
    next.reason = "failed on " + std::to_string(next.failed_on.size()) +
                  " different workers";
  }
  return next;
}

/// Returns the task's record after a report that ends the lease; no value when
/// the report does not end it.
auto ApplyTaskReport(const TaskInputs& inputs,
                     const TaskRecord& task,
                     const WorkerTaskReport& report,
                     TaskMemory& memory) -> std::optional<TaskRecord> {
  TaskRecord next = task;
  if (!report.checkpoint.empty()) {
    next.checkpoint = report.checkpoint;
  }
  switch (report.state) {
    case WorkerTaskState::kRunning:
      return std::nullopt;
    case WorkerTaskState::kDone:
      RecordTaskSuccess(memory.failures[task.worker]);
      next = Requeue(std::move(next));
      next.worker = task.worker;
      if (next.state == TaskState::kQueued) {
        next.state = TaskState::kDone;
        next.result = report.result;
      }
      return next;
    case WorkerTaskState::kFailed:
      return ApplyTaskFailure(inputs, std::move(next), memory);
    case WorkerTaskState::kCheckpointed:
      if (task.state == TaskState::kCancelling) {
        // The worker has only suspended the task and must still stop it.
        return std::nullopt;
      }
      return Requeue(std::move(next));
    case WorkerTaskState::kStopped:
    case WorkerTaskState::kLeaseExpired:
      return Requeue(std::move(next));
  }
  return std::nullopt;
}

/// Returns true when the worker has not reported on the lease for longer than
/// the start timeout.
auto IsUnreported(const TaskInputs& inputs,
                  const WorkerTaskReport* report,
                  TaskTimer& timer) -> bool {
  if (report != nullptr || !inputs.reports.has_value()) {
    timer.unreported_since.reset();
    return false;
  }
  timer.unreported_since = timer.unreported_since.value_or(inputs.now);
  return inputs.now - *timer.unreported_since >= inputs.limits.start_timeout;
}

/// Returns true when the worker is unresponsive although the platform still
/// lists it and repeats its last report. While the platform itself does not
/// answer, the state of its workers is unknown, so the timeout starts again.
auto IsUnresponsive(const TaskInputs& inputs, TaskTimer& timer) -> bool {
  if (!inputs.reports.has_value()) {
    timer.unanswered_since.reset();
  }
  return timer.unanswered_since.has_value() &&
         inputs.now - *timer.unanswered_since >= inputs.limits.command_timeout;
}

auto CommandFor(const TaskRecord& task, bool started) -> WorkerTaskCommandKind {
  if (task.state == TaskState::kCancelling) {
    return WorkerTaskCommandKind::kStop;
  }
  if (task.state == TaskState::kCheckpointing) {
    return WorkerTaskCommandKind::kCheckpoint;
  }
  return started ? WorkerTaskCommandKind::kRenew : WorkerTaskCommandKind::kRun;
}

}  // namespace

auto RecordCommandResult(TaskMemory& memory,
                         const TaskId& task,
                         std::uint64_t fence,
                         bool answered,
                         TimePoint now) -> void {
  const auto timer = memory.timers.find(task);
  if (timer == memory.timers.end() || timer->second.fence != fence) {
    return;
  }
  std::optional<TimePoint>& since = timer->second.unanswered_since;
  since = answered ? std::nullopt : std::optional(since.value_or(now));
}

auto StepLeasedTask(const TaskInputs& inputs,
                    const TaskRecord& task,
                    const WorkerTaskReport* report,
                    TaskMemory& memory,
                    TaskDecision& decision) -> std::optional<TaskRecord> {
  TaskTimer& timer = TimerOf(inputs, task, memory);
  if (report != nullptr) {
    std::optional<TaskRecord> next =
        ApplyTaskReport(inputs, task, *report, memory);
    if (next.has_value()) {
      return next;
    }
  }
  const WorkerCondition condition = FindCondition(inputs, task.worker);
  const bool unreported = IsUnreported(inputs, report, timer);
  const bool unresponsive = IsUnresponsive(inputs, timer);
  const bool lost =
      condition == WorkerCondition::kLost || unreported || unresponsive;
  if (lost || task.state != TaskState::kRunning) {
    // The lease is not renewed any more: either the worker completes what was
    // requested, or the lease expires.
    if (HasLeaseExpired(inputs, task, timer)) {
      if (unresponsive) {
        // Not a failure of the task, so it is not added to `failed_on`; the
        // pause keeps the task from being placed on this worker again.
        memory.failures[task.worker].paused_until =
            inputs.now + inputs.limits.failure_pause;
      }
      return unreported ? ApplyTaskFailure(inputs, task, memory)
                        : Requeue(task);
    }
  }
  if (lost) {
    return std::nullopt;
  }
  if (condition == WorkerCondition::kDraining &&
      task.state == TaskState::kRunning) {
    TaskRecord next = task;
    next.state = TaskState::kCheckpointing;
    return next;
  }
  SendCommand(inputs, task, timer, CommandFor(task, report != nullptr),
              decision);
  return std::nullopt;
}

}  // namespace fireflythread
