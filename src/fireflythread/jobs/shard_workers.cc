#include "fireflythread/jobs/shard_workers.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "fireflythread/jobs/given_up_run.h"
#include "fireflythread/jobs/neighbours.h"
#include "fireflythread/jobs/run_completion.h"
#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/unresponsive_workers.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

/// Time within which starts are usually answered.
constexpr std::chrono::milliseconds kUsualAnswerTime{100};

/// Releases the runs of a worker that certainly do not exist any more.
auto ReleaseExpired(ShardState& state, ShardWorker& worker, TimePoint now)
    -> void {
  std::vector<TaskName> tasks;
  for (const TaskName& name : worker.tasks) {
    if (worker.gone ||
        HasRunExpired(state, worker, *FindTask(state, name), now)) {
      tasks.push_back(name);
    }
  }
  if (tasks.empty()) {
    return;
  }
  const GiveUpEvidence evidence{
      worker.gone ? GiveUpReason::kOtherInstance : GiveUpReason::kLeaseExpired,
      OrderVerdict::kUnknown, std::max(worker.reported_at, state.owned_since)};
  state.released.push_back(
      {worker.view.id, tasks.size(), evidence.reason, now - evidence.as_of});
  if (tasks.size() == worker.tasks.size()) {
    state.released_until[worker.view.id] =
        now + state.limits.released_retention;
  }
  for (const TaskName& name : tasks) {
    GiveUpRun(state, name, evidence, now);
    if (IsFinal(state.jobs.at(name.job).progress.state)) {
      ForgetIfFinished(state, name.job);
    } else {
      // Until it is stored, a new owner would hold the run again.
      state.dirty.insert(name.job);
    }
  }
}

/// Removes a worker from the snapshot, because its completions may be numbered
/// from 1 again.
auto DropFromSnapshot(ShardState& state, const WorkerId& worker) -> void {
  if (state.completion_snapshot) {
    state.completion_snapshot->completions.erase(worker);
  }
}

auto ApplyCompletions(ShardState& state,
                      ShardWorker& worker,
                      const WorkerReport& report,
                      TimePoint now) -> void {
  for (const RunCompletion& ended : report.ended) {
    if (ended.number <= worker.last_applied_completion) {
      continue;
    }
    worker.last_applied_completion = ended.number;
    const TaskState* task = FindTask(state, ended.task);
    const bool newest = task != nullptr && task->run == ended.run &&
                        task->worker == worker.view.id;
    if (newest) {
      ApplyCompletion(state, ended, now);
    }
  }
}

auto ApplyRunning(TaskState& task, const RunningRun& running, TimePoint now)
    -> void {
  task.percent = running.percent;
  task.usage = running.usage;
  if (!running.checkpoint.empty()) {
    task.checkpoint = running.checkpoint;
  }
  if (task.phase == RunPhase::kStarting ||
      task.phase == RunPhase::kUnresolved) {
    task.phase = RunPhase::kRunning;
    task.since = now;
  }
}

/// Handles a task whose run the worker reports neither as running nor as ended.
auto ResolveMissingRun(ShardState& state,
                       const TaskName& name,
                       TimePoint sent_at,
                       TimePoint now) -> void {
  const TaskState* task = FindTask(state, name);
  GiveUpEvidence evidence;
  evidence.as_of = sent_at;
  switch (task->phase) {
    case RunPhase::kRunning:
      // The run was confirmed before the poll was sent, so it has ended.
      if (task->since < sent_at) {
        evidence.reason = GiveUpReason::kConfirmedNotListed;
        GiveUpRun(state, name, evidence, now);
      }
      break;
    case RunPhase::kUnresolved:
      if (task->inherited) {
        // A former owner ordered the run; the worker rejects its token by now.
        evidence.reason = GiveUpReason::kInheritedNotListed;
        GiveUpRun(state, name, evidence, now);
      } else {
        BeginStop(state, name, now);
      }
      break;
    case RunPhase::kStopping:
      if (task->stop_confirmed && task->stop_confirmed_at < sent_at) {
        evidence.reason = GiveUpReason::kStoppedNotListed;
        GiveUpRun(state, name, evidence, now);
      }
      break;
    default:
      break;
  }
  ForgetIfFinished(state, name.job);
}

auto ReconcileRuns(ShardState& state,
                   ShardWorker& worker,
                   const WorkerReport& report,
                   TimePoint sent_at,
                   TimePoint now) -> void {
  std::vector<const RunningRun*> running;
  running.reserve(report.running.size());
  for (const RunningRun& run : report.running) {
    running.push_back(&run);
  }
  std::stable_sort(running.begin(), running.end(),
                   [](const RunningRun* left, const RunningRun* right) -> bool {
                     return left->task < right->task;
                   });
  auto first = running.begin();
  for (auto next = worker.tasks.begin(); next != worker.tasks.end();) {
    // The task may be removed from the set, so advance the iterator first.
    const auto name = next++;
    while (first != running.end() && (*first)->task < *name) {
      ++first;
    }
    ShardJob& job = state.jobs.at(name->job);
    TaskState& task = *FindTask(job, *name);
    // An earlier run of the task may be listed beside the newest.
    const auto found =
        std::find_if(first, running.end(), [&](const RunningRun* run) -> bool {
          return run->task != *name || run->run == task.run;
        });
    if (found != running.end() && (*found)->task == *name) {
      ApplyRunning(task, **found, now);
      job.has_started = true;
    } else if (report.complete) {
      ResolveMissingRun(state, TaskName(*name), sent_at, now);
    }
  }
}

/// Returns the longest time for which a former owner's lease may last of a
/// worker that reports `clock`. The clock of an incarnation starts at 0; a
/// young one may have got orders with deadlines on the clock of the one before.
auto LongestFormerLease(const ShardLimits& limits,
                        std::chrono::milliseconds clock)
    -> std::chrono::milliseconds {
  const bool young = clock < limits.max_run_lease + limits.late_order;
  return young ? limits.max_run_lease : limits.run_lease;
}

/// Returns whether there are stored completions that the worker has not been
/// told to forget.
auto HasUnacknowledged(const ShardWorker& worker) -> bool {
  return worker.last_stored_completion > worker.acknowledged_completion;
}

/// Returns when the last start was ordered that has no answer yet; empty when
/// there is none.
auto LastUnansweredStart(const ShardState& state, const ShardWorker& worker)
    -> std::optional<TimePoint> {
  std::optional<TimePoint> last;
  for (const TaskName& name : worker.tasks) {
    const TaskState& task = TaskOf(state, name);
    if (task.phase == RunPhase::kStarting) {
      last = std::max(last.value_or(task.since), task.since);
    }
  }
  return last;
}

/// Returns whether a poll is better sent a little later: an answer to a start
/// is on its way, without which completions can't be acknowledged.
auto AwaitsStartAnswer(const ShardState& state,
                       const ShardWorker& worker,
                       TimePoint now) -> bool {
  if (!HasUnacknowledged(worker) ||
      now - worker.next_poll >= kUsualAnswerTime) {
    return false;
  }
  const auto started_at = LastUnansweredStart(state, worker);
  return started_at && now - *started_at < kUsualAnswerTime;
}

/// Returns the number up to which the next poll lets the worker forget
/// completions. The poll may reach a new incarnation, which numbers its
/// completions anew, and may be carried out late. A start that is ordered later
/// has a higher fencing token, after which the poll is rejected. But a start
/// without an answer may have reached the new incarnation before the poll.
auto NumberToAcknowledge(const ShardState& state, const ShardWorker& worker)
    -> std::uint64_t {
  const bool unanswered =
      worker.start_unanswered_at || LastUnansweredStart(state, worker);
  return HasUnacknowledged(worker) && !unanswered
             ? worker.last_stored_completion
             : 0;
}

/// Returns whether a report of the worker could change anything. A worker
/// without runs that gets no starts either need not be polled.
auto NeedsPoll(const ShardWorker& worker) -> bool {
  return !worker.tasks.empty() || (worker.listed && !worker.drain_requested);
}

/// Returns the delay of the next poll after a refused connection.
auto RefusedPause(const ShardLimits& limits, const ShardWorker& worker)
    -> std::chrono::milliseconds {
  if (!worker.tasks.empty()) {
    return limits.poll_retry;
  }
  std::chrono::milliseconds pause = limits.poll_retry;
  for (int refused = 1;
       refused < worker.refused_polls && pause < limits.max_poll_retry;
       ++refused) {
    pause *= 2;
  }
  return std::min(pause, limits.max_poll_retry);
}

}  // namespace

auto ApplyWorkers(ShardState& state,
                  const std::vector<WorkerView>& workers,
                  TimePoint now) -> void {
  for (auto& [id, worker] : state.workers) {
    worker.listed = false;
  }
  for (const WorkerView& view : workers) {
    ShardWorker& worker = state.workers[view.id];
    const bool restarted = worker.view.started_at.count() != 0 &&
                           worker.view.started_at != view.started_at;
    if (restarted || worker.view.address != view.address) {
      // The refusals concern the former incarnation or address.
      worker.refused_polls = 0;
      worker.next_poll = std::min(worker.next_poll, now);
    }
    worker.view = view;
    worker.listed = true;
    if (restarted && worker.reported_start != view.started_at) {
      worker.reported_start = view.started_at;
      ApplyRestart(state, worker, now);
    }
  }
  ExpireWorkers(state, now);
}

auto ApplyRestart(ShardState& state, ShardWorker& worker, TimePoint now)
    -> void {
  worker.last_applied_completion = 0;
  worker.last_stored_completion = 0;
  worker.acknowledged_completion = 0;
  worker.acknowledging_completion = 0;
  DropFromSnapshot(state, worker.view.id);
  worker.clock.reset();
  worker.latest_deadline = {};
  worker.confirmed = false;
  worker.restart_noticed_at = now;
  worker.next_poll = std::min(worker.next_poll, now);
}

auto ExpireWorkers(ShardState& state, TimePoint now) -> void {
  std::erase_if(state.released_until, [now](const auto& entry) -> bool {
    return entry.second <= now;
  });
  for (auto next = state.workers.begin(); next != state.workers.end();) {
    ShardWorker& worker = next->second;
    const bool over = worker.failed_polls > 0 || !worker.listed;
    if (!worker.tasks.empty() &&
        (worker.gone || (over && HasLeaseExpired(state, worker, now)))) {
      ReleaseExpired(state, worker, now);
    }
    const bool forget = worker.tasks.empty() && !worker.poll_in_flight &&
                        (worker.gone || !worker.listed);
    if (forget) {
      DropFromSnapshot(state, next->first);
      next = state.workers.erase(next);
    } else {
      ++next;
    }
  }
}

auto NextPoll(const ShardState& state,
              ShardWorker& worker,
              bool may_extend,
              TimePoint now) -> std::optional<PollCommand> {
  if (worker.poll_in_flight || worker.gone || now < worker.next_poll ||
      worker.view.address.empty() || !NeedsPoll(worker) ||
      AwaitsStartAnswer(state, worker, now)) {
    return std::nullopt;
  }
  PollCommand poll;
  poll.worker = worker.view.id;
  poll.address = worker.view.address;
  poll.fence = OrderFence(state);
  poll.last_seen = NumberToAcknowledge(state, worker);
  worker.acknowledging_completion = poll.last_seen;
  const bool busy = !worker.tasks.empty();
  // An extension without an answer may still take effect, so each further one
  // would delay the time at which the worker's leases must have expired.
  if (busy && may_extend && worker.clock && worker.failed_polls == 0 &&
      MayGetLease(state, worker.view.id)) {
    poll.deadline = NextDeadline(state.limits, worker, now);
  }
  // A worker with completions that are not stored yet would answer at once
  // anyway.
  if (busy && worker.confirmed) {
    // The poll after this one may extend the lease, and a long wait would
    // outlast what is left of it.
    const bool withheld =
        worker.failed_polls > 0 || !MayGetLease(state, worker.view.id);
    poll.wait = withheld ? state.limits.poll_retry : state.limits.poll_wait;
    if (worker.fillers > 0 && worker.serving_tasks > 0) {
      poll.wait = std::min(poll.wait, state.limits.paced_poll_wait);
    }
  }
  worker.poll_in_flight = true;
  return poll;
}

auto ApplyReport(ShardState& state,
                 const WorkerId& worker_id,
                 const WorkerReport& report,
                 TimePoint sent_at,
                 TimePoint now) -> void {
  const auto found = state.workers.find(worker_id);
  if (found == state.workers.end()) {
    return;
  }
  ShardWorker& worker = found->second;
  worker.poll_in_flight = false;
  if (worker.restart_noticed_at && sent_at < *worker.restart_noticed_at) {
    // The report may be of the former incarnation.
    worker.next_poll = now;
    return;
  }
  worker.failed_polls = 0;
  worker.refused_polls = 0;
  worker.reported_at = now;
  state.released_until.erase(worker_id);
  if (worker.reported_start.count() != 0 &&
      worker.reported_start != report.started_at) {
    ApplyRestart(state, worker, now);
  }
  worker.reported_start = report.started_at;
  if (worker.start_unanswered_at && *worker.start_unanswered_at <= sent_at) {
    worker.start_unanswered_at.reset();
  }
  worker.acknowledged_completion =
      std::max(worker.acknowledged_completion, worker.acknowledging_completion);
  ApplyClockReading(worker, report.clock, now);
  if (!worker.confirmed) {
    // A former owner's lease may extend to this deadline; it cannot be extended
    // any more.
    worker.latest_deadline =
        std::max(worker.latest_deadline,
                 report.clock + LongestFormerLease(state.limits, report.clock));
  }
  worker.confirmed = true;
  ApplyCompletions(state, worker, report, now);
  ReconcileRuns(state, worker, report, sent_at, now);
  ObserveNeighbours(state, worker, sent_at, now);
  if (state.dirty.empty() && !state.storing) {
    worker.last_stored_completion = worker.last_applied_completion;
  }
  if (worker.tasks.empty()) {
    worker.next_poll = now + state.limits.idle_poll;
  } else if (report.ended.empty() || state.has_backlog) {
    worker.next_poll = now;
  } else {
    worker.next_poll = now + state.limits.poll_spacing;
  }
}

auto ApplyOvertakenPoll(ShardState& state,
                        const WorkerId& worker_id,
                        TimePoint now) -> void {
  const auto found = state.workers.find(worker_id);
  if (found != state.workers.end()) {
    found->second.poll_in_flight = false;
    found->second.next_poll = now;
  }
}

auto ApplyPollFailure(ShardState& state,
                      const WorkerId& worker_id,
                      TimePoint now) -> void {
  const auto found = state.workers.find(worker_id);
  if (found == state.workers.end()) {
    return;
  }
  ShardWorker& worker = found->second;
  worker.poll_in_flight = false;
  ++worker.failed_polls;
  worker.next_poll = now + state.limits.poll_retry;
}

auto ApplyPollRefusal(ShardState& state,
                      const WorkerId& worker_id,
                      TimePoint now) -> void {
  ApplyPollFailure(state, worker_id, now);
  const auto found = state.workers.find(worker_id);
  if (found == state.workers.end()) {
    return;
  }
  ShardWorker& worker = found->second;
  ++worker.refused_polls;
  worker.next_poll = now + RefusedPause(state.limits, worker);
}

auto ApplyOtherInstance(ShardState& state,
                        const WorkerId& worker_id,
                        const std::string& address,
                        TimePoint now) -> bool {
  const auto found = state.workers.find(worker_id);
  if (found == state.workers.end()) {
    return true;
  }
  ShardWorker& worker = found->second;
  if (worker.view.address != address) {
    return false;
  }
  worker.poll_in_flight = false;
  worker.gone = true;
  ExpireWorkers(state, now);
  return true;
}

auto ApplyMissingReport(ShardState& state,
                        const PollCommand& poll,
                        OrderVerdict verdict,
                        TimePoint now) -> void {
  switch (verdict) {
    case OrderVerdict::kOtherInstance:
      if (!ApplyOtherInstance(state, poll.worker, poll.address, now)) {
        ApplyPollFailure(state, poll.worker, now);
      }
      break;
    case OrderVerdict::kNotSent:
      ApplyPollRefusal(state, poll.worker, now);
      break;
    case OrderVerdict::kFenced:
      if (IsFencedOff(state, poll.fence)) {
        state.fenced_off = true;
        ApplyPollFailure(state, poll.worker, now);
      } else {
        ApplyOvertakenPoll(state, poll.worker, now);
      }
      break;
    default:
      ApplyPollFailure(state, poll.worker, now);
      break;
  }
}

}  // namespace fireflythread
