#include "fireflythread/jobs/shard_orders.h"

#include <algorithm>

#include "fireflythread/jobs/given_up_run.h"
#include "fireflythread/jobs/shard_workers.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

/// Returns the worker of an order, or null if it was removed meanwhile.
auto WorkerOf(ShardState& state, const WorkerId& id) -> ShardWorker* {
  const auto found = state.workers.find(id);
  return found == state.workers.end() ? nullptr : &found->second;
}

auto IsNewestRun(const TaskState* task, const WorkerId& worker, int run)
    -> bool {
  return task != nullptr && task->worker == worker && task->run == run;
}

auto ApplyStartRefusal(ShardState& state,
                       const StartCommand& start,
                       OrderVerdict verdict,
                       TimePoint now) -> void {
  ShardWorker* worker = WorkerOf(state, start.worker);
  if (worker != nullptr && (verdict == OrderVerdict::kNoCapacity ||
                            verdict == OrderVerdict::kUnhealthy ||
                            verdict == OrderVerdict::kInvalid)) {
    worker->cooldown_until = now + state.limits.refused_pause;
  }
  if (worker != nullptr && verdict == OrderVerdict::kNotSent) {
    // Nothing accepts connections at the address. No starts until a poll
    // succeeds.
    ++worker->failed_polls;
    worker->next_poll = std::min(worker->next_poll, now);
  }
  if (worker != nullptr && verdict == OrderVerdict::kDeadlinePassed) {
    // The clock's last reading still bounds the end of the leases. The reply
    // has corrected it, or the next report does.
    worker->cooldown_until = now + state.limits.refused_pause;
    worker->next_poll = now;
  }
  const TaskState* task = FindTask(state, start.task);
  if (task->phase == RunPhase::kStarting) {
    GiveUpRun(state, start.task,
              {GiveUpReason::kRefused, verdict, start.ordered_at}, now);
    ForgetIfFinished(state, start.task.job);
  }
}

auto ApplyUnknownStart(TaskState& task, ShardWorker* worker, TimePoint now)
    -> void {
  if (task.phase == RunPhase::kStarting) {
    task.phase = RunPhase::kUnresolved;
    task.since = now;
  }
  if (worker != nullptr) {
    worker->start_unanswered_at = now;
    worker->next_poll = now;
  }
}

}  // namespace

auto OrderFence(const ShardState& state) -> std::uint64_t {
  return std::max(state.fence, state.order_fence);
}

auto IsFencedOff(const ShardState& state, std::uint64_t rejected) -> bool {
  return rejected >= OrderFence(state);
}

auto ApplyStartReply(ShardState& state,
                     const StartCommand& start,
                     const OrderReply& reply,
                     TimePoint now) -> void {
  ShardWorker* worker = WorkerOf(state, start.worker);
  if (worker != nullptr && reply.clock) {
    if (HasClockRestarted(state.limits, *worker, *reply.clock,
                          start.ordered_at)) {
      ApplyRestart(state, *worker, now);
    }
    ApplyClockReading(*worker, *reply.clock, now);
  }
  if (reply.verdict == OrderVerdict::kFenced &&
      IsFencedOff(state, start.fence)) {
    state.fenced_off = true;
    return;
  }
  if (reply.verdict == OrderVerdict::kOtherInstance &&
      ApplyOtherInstance(state, start.worker, start.address, now)) {
    return;
  }
  TaskState* task = FindTask(state, start.task);
  if (!IsNewestRun(task, start.worker, start.run)) {
    return;
  }
  switch (reply.verdict) {
    case OrderVerdict::kDone:
      if (task->phase == RunPhase::kStarting) {
        task->phase = RunPhase::kRunning;
        task->since = now;
      }
      state.jobs.at(start.task.job).has_started = true;
      if (worker != nullptr && !worker->poll_in_flight) {
        worker->next_poll =
            std::min(worker->next_poll, now + state.limits.poll_spacing);
      }
      break;
    case OrderVerdict::kOldRun:
    case OrderVerdict::kFenced:
      // An earlier copy of the order may have been carried out, and the run may
      // have ended since: the next report tells.
    case OrderVerdict::kUnknown:
      ApplyUnknownStart(*task, worker, now);
      break;
    default:
      ApplyStartRefusal(state, start, reply.verdict, now);
      break;
  }
}

auto ApplyWithheldStart(ShardState& state,
                        const StartCommand& start,
                        TimePoint now) -> void {
  const TaskState* task = FindTask(state, start.task);
  if (IsNewestRun(task, start.worker, start.run) &&
      task->phase == RunPhase::kStarting) {
    GiveUpRun(
        state, start.task,
        {GiveUpReason::kWithheld, OrderVerdict::kNotSent, start.ordered_at},
        now);
    ForgetIfFinished(state, start.task.job);
  }
}

auto NextStops(ShardState& state, TimePoint now) -> std::vector<StopCommand> {
  std::vector<StopCommand> stops;
  for (const TaskName& name : state.stopping) {
    TaskState* task = FindTask(state, name);
    const ShardWorker& worker = state.workers.at(task->worker);
    if (task->stop_confirmed || task->stop_in_flight ||
        now < task->not_before || worker.gone || worker.view.address.empty()) {
      continue;
    }
    task->stop_in_flight = true;
    stops.push_back(StopCommand{task->worker, worker.view.address, name,
                                task->run, OrderFence(state)});
  }
  return stops;
}

auto ApplyStopReply(ShardState& state,
                    const StopCommand& stop,
                    const OrderReply& reply,
                    TimePoint now) -> void {
  if (reply.verdict == OrderVerdict::kFenced &&
      IsFencedOff(state, stop.fence)) {
    state.fenced_off = true;
    return;
  }
  if (reply.verdict == OrderVerdict::kOtherInstance &&
      ApplyOtherInstance(state, stop.worker, stop.address, now)) {
    return;
  }
  TaskState* task = FindTask(state, stop.task);
  if (!IsNewestRun(task, stop.worker, stop.run) ||
      task->phase != RunPhase::kStopping) {
    return;
  }
  task->stop_in_flight = false;
  // After kOldRun the run has ended already.
  if (reply.verdict == OrderVerdict::kDone ||
      reply.verdict == OrderVerdict::kOldRun) {
    task->stop_confirmed = true;
    task->stop_confirmed_at = now;
    ShardWorker* worker = WorkerOf(state, stop.worker);
    if (worker != nullptr && !worker->poll_in_flight) {
      worker->next_poll = now;
    }
    return;
  }
  task->not_before = now + state.limits.stop_retry;
}

}  // namespace fireflythread
