#include "fireflythread/jobs/run_end.h"

#include <algorithm>

#include "fireflythread/jobs/shard_jobs.h"

namespace fireflythread {
namespace {

auto IsJobDone(const ShardJob& job) -> bool {
  return std::all_of(job.progress.tasks.begin(), job.progress.tasks.end(),
                     [](const TaskState& task) { return task.done; });
}

/// One member's good end stands for its whole gang.
auto MarkDone(ShardJob& job, const TaskName& name, bool gang) -> void {
  if (!gang) {
    FindTask(job, name)->done = true;
    return;
  }
  const int count =
      job.request.steps[static_cast<std::size_t>(name.step)].count;
  for (int index = 0; index < count; ++index) {
    TaskState& member =
        job.progress.tasks[TaskPlace(job, name.occurrence, name.step, index)];
    member.done = true;
    if (member.worker.empty()) {
      member.phase = RunPhase::kDone;
    }
  }
}

/// Slows starts on a worker whose runs fail one after the other.
auto CountFailure(const ShardLimits& limits, ShardWorker& worker, TimePoint now)
    -> void {
  ++worker.failures_in_row;
  if (worker.failures_in_row > 1) {
    worker.cooldown_until =
        now + limits.failing_pause * std::min(worker.failures_in_row - 1, 4);
  }
}

}  // namespace

auto TakeRunEnd(ShardState& state, const EndedRun& ended, TimePoint now)
    -> void {
  ShardJob& job = state.jobs.at(ended.task.job);
  const JobStep& step = StepOf(state, ended.task);
  TaskState& task = *FindTask(job, ended.task);
  ShardWorker& worker = state.workers.at(task.worker);
  job.began = true;
  if (ended.end == RunEnd::kDone) {
    worker.failures_in_row = 0;
    if (!step.long_running) {
      MarkDone(job, ended.task, step.gang);
    }
  } else if (ended.end == RunEnd::kFailed) {
    ++task.failures;
    CountFailure(state.limits, worker, now);
  }
  if (!ended.checkpoint.empty()) {
    task.checkpoint = ended.checkpoint;
  }
  ReleaseTask(state, ended.task, now);
  if (ended.end == RunEnd::kFailed) {
    task.not_before = now + state.limits.failed_task_pause;
  }
  state.dirty.insert(ended.task.job);
  const auto queue = state.queues.find(job.request.queue);
  const int max_attempts =
      queue == state.queues.end() ? 1 : queue->second.max_attempts;
  if (task.failures >= max_attempts && !step.long_running && !task.done) {
    FinishJob(state, ended.task.job, JobState::kFailed, now);
  } else if (IsJobDone(job)) {
    FinishJob(state, ended.task.job, JobState::kCompleted, now);
  }
}

}  // namespace fireflythread
