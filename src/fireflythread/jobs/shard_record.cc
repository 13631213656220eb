#include "fireflythread/jobs/shard_record.h"

#include <algorithm>
#include <utility>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/worker_lease.h"

namespace fireflythread {
namespace {

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
            job.progress.tasks[TaskPlace(job, occurrence, step, index)];
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
  start.fence = state.fence;
  start.checkpoint = task.checkpoint;
  start.ticket = task.ticket;
  return start;
}

}  // namespace

auto TakeBatch(ShardState& state, std::size_t max_jobs) -> RecordBatch {
  RecordBatch batch;
  state.storing = true;
  while (!state.dirty.empty() && batch.records.size() < max_jobs) {
    const JobId id = *state.dirty.begin();
    state.dirty.erase(state.dirty.begin());
    ShardJob& job = state.jobs.at(id);
    job.storing = true;
    batch.records.push_back({id, job.version, EncodeJobProgress(job.progress)});
    AddPlannedRuns(job, batch);
  }
  // An end counts as stored only when no job of it is left out.
  if (state.dirty.empty()) {
    for (const auto& [id, worker] : state.workers) {
      if (worker.ended_stored < worker.ended_seen) {
        batch.ends.emplace(id, worker.ended_seen);
      }
    }
  }
  return batch;
}

auto TakeStored(ShardState& state,
                const RecordBatch& batch,
                std::uint64_t version,
                TimePoint now) -> std::vector<StartCommand> {
  state.storing = false;
  for (const JobRecord& record : batch.records) {
    const auto job = state.jobs.find(record.job);
    if (job != state.jobs.end()) {
      job->second.version = version;
      job->second.storing = false;
    }
  }
  for (const auto& [id, number] : batch.ends) {
    const auto worker = state.workers.find(id);
    // A worker that restarted meanwhile counts its ends anew.
    if (worker != state.workers.end() && number <= worker->second.ended_seen) {
      worker->second.ended_stored =
          std::max(worker->second.ended_stored, number);
    }
  }
  std::vector<StartCommand> starts;
  for (const PlannedRun& planned : batch.planned) {
    TaskState* task = FindTask(state, planned.task);
    if (task == nullptr || task->phase != RunPhase::kPlanned ||
        task->run != planned.run) {
      continue;
    }
    ShardWorker& worker = state.workers.at(task->worker);
    const bool usable = worker.listed && !worker.view.draining &&
                        !worker.vacating && !worker.gone && worker.clock;
    if (usable) {
      starts.push_back(MakeStart(state, planned.task, *task, worker, now));
    } else {
      ReleaseTask(state, planned.task, now);
    }
  }
  for (const JobRecord& record : batch.records) {
    ForgetIfFinished(state, record.job);
  }
  return starts;
}

auto TakeNotStored(ShardState& state, const RecordBatch& batch) -> void {
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
