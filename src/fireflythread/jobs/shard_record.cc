#include "fireflythread/jobs/shard_record.h"

#include <algorithm>
#include <string>
#include <utility>

#include "fireflythread/jobs/given_up_run.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/unresponsive_workers.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

/// Maximum size of the values in one batch, unless a single value is larger.
/// The store accepts 1 MB in a call, where values are base64-encoded.
constexpr std::size_t kMaxBatchBytes = 400'000;

auto AddPlannedRuns(const ShardJob& job, RecordBatch& batch) -> void {
  if (job.assigned == 0) {
    return;
  }
  const int occurrences = OccurrenceCount(job.request);
  const auto steps = static_cast<int>(job.request.steps.size());
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (int step = 0; step < steps; ++step) {
      const int count = job.request.steps[static_cast<std::size_t>(step)].count;
      for (int index = 0; index < count; ++index) {
        const TaskState& task =
            job.progress.tasks[TaskIndex(job, occurrence, step, index)];
        if (task.phase == RunPhase::kPlanned) {
          batch.planned.push_back(
              {TaskName{job.request.id, occurrence, step, index}, task.run});
        }
      }
    }
  }
}

auto MakeStart(ShardState& state,
               const TaskName& name,
               TaskState& task,
               ShardWorker& worker,
               TimePoint now) -> StartCommand {
  task.phase = RunPhase::kStarting;
  task.since = now;
  StartCommand start;
  start.worker = task.worker;
  start.address = worker.view.address;
  start.task = name;
  start.run = task.run;
  start.spec = state.jobs.at(name.job).request.spec;
  start.deadline = NextDeadline(state.limits, worker, now);
  start.fence = OrderFence(state);
  start.checkpoint = task.checkpoint;
  start.ticket = task.ticket;
  start.ordered_at = now;
  return start;
}

/// Returns the next dirty job in rotation.
auto NextDirty(const ShardState& state) -> JobId {
  const auto next = state.dirty.upper_bound(state.last_batched);
  return next == state.dirty.end() ? *state.dirty.begin() : *next;
}

/// Records which completions were applied and which jobs may contain their
/// effects. No batch is in flight, so every such job is dirty.
auto BeginCompletionSnapshot(ShardState& state) -> void {
  if (state.completion_snapshot) {
    return;
  }
  CompletionSnapshot snapshot;
  for (const auto& [id, worker] : state.workers) {
    if (worker.last_stored_completion < worker.last_applied_completion) {
      snapshot.completions.emplace(id, worker.last_applied_completion);
    }
  }
  if (!snapshot.completions.empty()) {
    snapshot.unstored = state.dirty;
    state.completion_snapshot = std::move(snapshot);
  }
}

/// Removes stored jobs from the snapshot; after the last one the completions of
/// the snapshot count as stored.
auto AdvanceCompletionSnapshot(ShardState& state, const RecordBatch& batch)
    -> void {
  if (!state.completion_snapshot) {
    return;
  }
  CompletionSnapshot& snapshot = *state.completion_snapshot;
  for (const JobRecord& record : batch.records) {
    snapshot.unstored.erase(record.job);
  }
  if (!snapshot.unstored.empty()) {
    return;
  }
  for (const auto& [id, number] : snapshot.completions) {
    const auto worker = state.workers.find(id);
    if (worker != state.workers.end() &&
        number <= worker->second.last_applied_completion) {
      worker->second.last_stored_completion =
          std::max(worker->second.last_stored_completion, number);
    }
  }
  state.completion_snapshot.reset();
}

}  // namespace

auto TakeBatch(ShardState& state, std::size_t max_jobs) -> RecordBatch {
  BeginCompletionSnapshot(state);
  RecordBatch batch;
  state.storing = true;
  std::size_t bytes = 0;
  while (!state.dirty.empty() && batch.records.size() < max_jobs) {
    const JobId id = NextDirty(state);
    ShardJob& job = state.jobs.at(id);
    std::string value =
        EncodeJobProgress(job.progress, job.request.organisation);
    bytes += value.size();
    if (bytes > kMaxBatchBytes && !batch.records.empty()) {
      break;
    }
    batch.records.push_back({id, job.version, std::move(value)});
    AddPlannedRuns(job, batch);
    job.storing = true;
    state.dirty.erase(id);
    state.last_batched = id;
  }
  return batch;
}

auto ApplyStored(ShardState& state,
                 const RecordBatch& batch,
                 std::uint64_t version,
                 TimePoint now) -> std::vector<StartCommand> {
  state.storing = false;
  state.order_fence = version;
  for (const JobRecord& record : batch.records) {
    const auto job = state.jobs.find(record.job);
    if (job != state.jobs.end()) {
      job->second.version = version;
      job->second.storing = false;
    }
  }
  AdvanceCompletionSnapshot(state, batch);
  std::vector<StartCommand> starts;
  for (const PlannedRun& planned : batch.planned) {
    TaskState* task = FindTask(state, planned.task);
    if (task == nullptr || task->phase != RunPhase::kPlanned ||
        task->run != planned.run) {
      continue;
    }
    ShardWorker& worker = state.workers.at(task->worker);
    const bool usable = worker.listed && !worker.view.draining &&
                        !worker.drain_requested && !worker.gone &&
                        worker.clock && MayGetLease(state, worker.view.id);
    if (usable) {
      starts.push_back(MakeStart(state, planned.task, *task, worker, now));
    } else {
      GiveUpRun(state, planned.task,
                {GiveUpReason::kWithheld, OrderVerdict::kNotSent, now}, now);
    }
  }
  for (const JobRecord& record : batch.records) {
    ForgetIfFinished(state, record.job);
  }
  return starts;
}

auto ApplyNotStored(ShardState& state, const RecordBatch& batch) -> void {
  state.storing = false;
  for (const JobRecord& record : batch.records) {
    const auto job = state.jobs.find(record.job);
    if (job != state.jobs.end()) {
      job->second.storing = false;
      state.dirty.insert(record.job);
    }
  }
}

}  // namespace fireflythread
