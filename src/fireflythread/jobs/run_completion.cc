#include "fireflythread/jobs/run_completion.h"

#include <algorithm>

#include "fireflythread/jobs/shard_jobs.h"

namespace fireflythread {
namespace {

/// A successful run of one member completes its whole gang.
auto MarkGangDone(ShardJob& job, const TaskName& name) -> void {
  const int count =
      job.request.steps[static_cast<std::size_t>(name.step)].count;
  for (int index = 0; index < count; ++index) {
    const TaskName member{name.job, name.occurrence, name.step, index};
    MarkDone(job, member);
    if (FindTask(job, member)->worker.empty()) {
      SetPhase(job, member, RunPhase::kDone);
    }
  }
}

/// Delays further starts on a worker whose runs fail consecutively.
auto CountFailure(const ShardLimits& limits, ShardWorker& worker, TimePoint now)
    -> void {
  ++worker.failures_in_row;
  if (worker.failures_in_row > 1) {
    worker.cooldown_until =
        now + limits.failing_pause * std::min(worker.failures_in_row - 1, 4);
  }
}

}  // namespace

auto ApplyCompletion(ShardState& state,
                     const RunCompletion& ended,
                     TimePoint now) -> void {
  ShardJob& job = state.jobs.at(ended.task.job);
  const JobStep& step = StepOf(state, ended.task);
  TaskState& task = *FindTask(job, ended.task);
  ShardWorker& worker = state.workers.at(task.worker);
  job.has_started = true;
  if (ended.end == RunResult::kDone) {
    worker.failures_in_row = 0;
    if (!step.long_running && step.gang) {
      MarkGangDone(job, ended.task);
    } else if (!step.long_running) {
      MarkDone(job, ended.task);
    }
  } else if (ended.end == RunResult::kFailed) {
    ++task.failures;
    CountFailure(state.limits, worker, now);
  }
  if (!ended.checkpoint.empty()) {
    task.checkpoint = ended.checkpoint;
  }
  ReleaseTask(state, ended.task, now);
  if (ended.end == RunResult::kFailed) {
    task.not_before = now + state.limits.failed_task_pause;
  }
  state.dirty.insert(ended.task.job);
  const QueueTerms* terms = TermsOf(state, job);
  const bool exhausted =
      terms != nullptr && task.failures >= terms->max_attempts;
  if (exhausted && !step.long_running && !task.done) {
    FinishJob(state, ended.task.job, JobState::kFailed, now);
  } else if (IsJobDone(job)) {
    FinishJob(state, ended.task.job, JobState::kCompleted, now);
  }
}

}  // namespace fireflythread
