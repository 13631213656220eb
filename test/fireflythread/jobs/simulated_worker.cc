#include "test/fireflythread/jobs/simulated_worker.h"

#include <algorithm>
#include <utility>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

/// The worker shortens longer leases.
constexpr milliseconds kMaxLease{10000};

/// Time at which a run ends that never ends by itself.
constexpr TimePoint kNever = TimePoint::max();

}  // namespace

SimulatedWorker::SimulatedWorker(std::string worker_id,
                                 int percent,
                                 RunLedger& runs,
                                 WorkTime work_time)
    : id(std::move(worker_id)),
      clock_percent(percent),
      ledger(runs),
      work(std::move(work_time)) {}

auto SimulatedWorker::Restart(TimePoint now) -> void {
  for (const auto& [task, run] : this->running) {
    this->ledger.End(run.record, false, now);
  }
  this->running.clear();
  this->highest.clear();
  this->ended.clear();
  this->records.clear();
  this->last_number = 0;
  this->fence = 0;
  this->deadline = milliseconds(0);
  this->origin = now;
  ++this->incarnation;
}

auto SimulatedWorker::StartedAt() const -> milliseconds {
  return milliseconds(this->incarnation);
}

auto SimulatedWorker::Clock(TimePoint now) const -> milliseconds {
  return std::chrono::duration_cast<milliseconds>(now - this->origin) *
         this->clock_percent / 100;
}

auto SimulatedWorker::Extend(milliseconds until, TimePoint now) -> void {
  const milliseconds longest = this->Clock(now) + kMaxLease;
  this->deadline = std::max(this->deadline, std::min(until, longest));
}

auto SimulatedWorker::Reply(OrderVerdict verdict, TimePoint now) const
    -> OrderReply {
  OrderReply reply;
  reply.verdict = verdict;
  reply.clock = this->Clock(now);
  return reply;
}

auto SimulatedWorker::End(const TaskName& task, RunResult result, TimePoint now)
    -> void {
  const auto found = this->running.find(task);
  const Run run = found->second;
  this->running.erase(found);
  this->ledger.End(run.record, result == RunResult::kDone, now);
  this->highest[task] = std::max(this->highest[task], run.number);
  RunCompletion completion;
  completion.number = ++this->last_number;
  completion.task = task;
  completion.run = run.number;
  completion.end = result;
  this->records[completion.number] = run.record;
  this->ended.push_back(completion);
}

auto SimulatedWorker::Advance(TimePoint now) -> void {
  const bool expired = this->Clock(now) > this->deadline;
  if (expired) {
    for (const auto& [number, record] : this->records) {
      this->ledger.Expire(record);
    }
  }
  std::vector<std::pair<TaskName, RunResult>> over;
  for (const auto& [task, run] : this->running) {
    if (expired) {
      over.emplace_back(task, RunResult::kLeaseExpired);
    } else if (run.ends_at <= now) {
      over.emplace_back(task, RunResult::kDone);
    }
  }
  for (const auto& [task, result] : over) {
    this->End(task, result, now);
  }
}

auto SimulatedWorker::Start(const StartCommand& start, TimePoint now)
    -> OrderReply {
  if (start.fence < this->fence) {
    return this->Reply(OrderVerdict::kFenced, now);
  }
  this->fence = start.fence;
  const auto present = this->running.find(start.task);
  if (present != this->running.end() && present->second.number == start.run) {
    this->Extend(start.deadline, now);
    return this->Reply(OrderVerdict::kDone, now);
  }
  const auto ended_run = this->highest.find(start.task);
  if ((ended_run != this->highest.end() && start.run <= ended_run->second) ||
      (present != this->running.end() && present->second.number > start.run)) {
    this->Extend(start.deadline, now);
    return this->Reply(OrderVerdict::kOldRun, now);
  }
  if (start.deadline <= this->Clock(now)) {
    return this->Reply(OrderVerdict::kDeadlinePassed, now);
  }
  this->Extend(start.deadline, now);
  const milliseconds time = this->work(start.task);
  Run run;
  run.number = start.run;
  run.ends_at = time.count() == 0 ? kNever : now + time;
  run.record = this->ledger.Begin(start.task, start.run, this->id, now);
  this->running[start.task] = run;
  return this->Reply(OrderVerdict::kDone, now);
}

auto SimulatedWorker::Stop(const StopCommand& stop, TimePoint now)
    -> OrderReply {
  if (stop.fence < this->fence) {
    return this->Reply(OrderVerdict::kFenced, now);
  }
  this->fence = stop.fence;
  this->highest[stop.task] = std::max(this->highest[stop.task], stop.run);
  const auto present = this->running.find(stop.task);
  if (present != this->running.end() && present->second.number == stop.run) {
    this->End(stop.task, RunResult::kStopped, now);
  }
  return this->Reply(OrderVerdict::kDone, now);
}

auto SimulatedWorker::Poll(const PollCommand& poll, TimePoint now)
    -> std::variant<WorkerReport, OrderReply> {
  if (poll.fence < this->fence) {
    return this->Reply(OrderVerdict::kFenced, now);
  }
  this->fence = poll.fence;
  std::erase_if(this->ended, [&](const RunCompletion& each) -> bool {
    if (each.number > poll.last_seen) {
      return false;
    }
    this->ledger.Acknowledge(this->records.at(each.number), now);
    return true;
  });
  if (poll.deadline) {
    this->Extend(*poll.deadline, now);
  }
  WorkerReport report;
  report.clock = this->Clock(now);
  report.started_at = this->StartedAt();
  for (const auto& [task, run] : this->running) {
    report.running.push_back({task, run.number, "", 100, 0});
  }
  report.ended = this->ended;
  return report;
}

}  // namespace fireflythread::test
