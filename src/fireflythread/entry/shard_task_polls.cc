#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/shard_task.h"
#include "fireflythread/jobs/shard_workers.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Added to the wait of a long poll of a worker to get its timeout.
constexpr milliseconds kPollSlack{800};

}  // namespace

auto ShardTask::PollWorkers() -> void {
  const TimePoint now = ReadBootClock();
  // Leases are extended only while the entry's row is renewed, because a
  // successor computes their end from that row.
  const bool may_extend = now - this->environment.confirmed_at() <
                          this->state.limits.extend_without_store;
  std::vector<PollCommand> polls;
  for (auto& [id, worker] : this->state.workers) {
    // The worker would report again the completions that are being stored, so
    // the poll is delayed by up to 1000 ms.
    const bool storing =
        worker.last_stored_completion < worker.last_applied_completion &&
        now - worker.next_poll < milliseconds(1000);
    if (storing) {
      continue;
    }
    if (auto poll = NextPoll(this->state, worker, may_extend, now)) {
      polls.push_back(std::move(*poll));
    }
  }
  for (const PollCommand& poll : polls) {
    this->SendPoll(poll);
  }
}

auto ShardTask::SendPoll(const PollCommand& poll) -> void {
  const TimePoint sent_at = ReadBootClock();
  this->environment.workers.Poll(
      poll, poll.wait + kPollSlack,
      this->alive.Guard([this, poll, sent_at](auto&& result) {
        const auto* report = std::get_if<WorkerReport>(&result);
        this->monitor.RecordPoll(report == nullptr);
        if (report != nullptr) {
          this->ApplyWorkerReport(poll, *report, sent_at);
        } else {
          this->ApplyMissingReport(poll, std::get<OrderReply>(result));
        }
        this->CheckFence();
        this->Wake();
      }));
}

auto ShardTask::ApplyWorkerReport(const PollCommand& poll,
                                  const WorkerReport& report,
                                  TimePoint sent_at) -> void {
  this->LogCompletions(poll.worker, report);
  ApplyReport(this->state, poll.worker, report, sent_at, ReadBootClock());
}

auto ShardTask::LogGivenUpRuns() -> void {
  for (const ReleasedRuns& released : std::exchange(this->state.released, {})) {
    this->run_log.RecordReleased(this->state.shard, released);
  }
  for (const GivenUpRun& given_up : std::exchange(this->state.given_up, {})) {
    this->run_log.RecordGivenUp(this->state.shard, given_up);
  }
}

auto ShardTask::LogCompletions(const WorkerId& worker_id,
                               const WorkerReport& report) -> void {
  const auto worker = this->state.workers.find(worker_id);
  if (worker == this->state.workers.end()) {
    return;
  }
  for (const RunCompletion& ended : report.ended) {
    if (ended.number <= worker->second.last_applied_completion) {
      continue;
    }
    this->monitor.RecordCompletion();
    this->run_log.RecordCompletion(worker_id, ended);
  }
}

auto ShardTask::ApplyMissingReport(const PollCommand& poll,
                                   const OrderReply& reply) -> void {
  const TimePoint now = ReadBootClock();
  this->run_log.RecordFailedPoll(poll, reply);
  fireflythread::ApplyMissingReport(this->state, poll, reply.verdict, now);
  this->LogUnresponsive(poll.worker, now);
}

auto ShardTask::LogUnresponsive(const WorkerId& worker_id, TimePoint now)
    -> void {
  const auto found = this->state.workers.find(worker_id);
  if (found == this->state.workers.end()) {
    return;
  }
  const ShardWorker& worker = found->second;
  if (worker.failed_polls == 1 && !worker.tasks.empty()) {
    this->run_log.RecordUnresponsive(
        this->state.shard, worker,
        TimeUntilLeaseExpiry(this->state, worker, now));
  }
}

}  // namespace fireflythread
