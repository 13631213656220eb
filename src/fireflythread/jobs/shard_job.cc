#include "fireflythread/jobs/shard_job.h"

#include <algorithm>
#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/jobs/job_urgency.h"

namespace fireflythread {
namespace {

auto TallyIndex(const ShardJob& job, int occurrence, int step) -> std::size_t {
  return static_cast<std::size_t>(occurrence) * job.request.steps.size() +
         static_cast<std::size_t>(step);
}

auto IsOccurrenceDone(const ShardJob& job, int occurrence) -> bool {
  const auto steps = static_cast<int>(job.request.steps.size());
  for (int step = 0; step < steps; ++step) {
    if (!IsStepDone(job, occurrence, step)) {
      return false;
    }
  }
  return true;
}

auto SkipDoneOccurrences(ShardJob& job) -> void {
  while (job.first_unfinished < OccurrenceCount(job.request) &&
         IsOccurrenceDone(job, job.first_unfinished)) {
    ++job.first_unfinished;
  }
}

}  // namespace

auto TaskCount(const JobRequest& request) -> std::size_t {
  std::size_t count = 0;
  for (const JobStep& step : request.steps) {
    count += static_cast<std::size_t>(step.count);
  }
  return count * static_cast<std::size_t>(OccurrenceCount(request));
}

auto MakeShardJob(JobRequest request) -> ShardJob {
  ShardJob job;
  for (const JobStep& step : request.steps) {
    job.step_offsets.push_back(job.tasks_per_occurrence);
    job.tasks_per_occurrence += static_cast<std::size_t>(step.count);
  }
  const auto steps = static_cast<int>(request.steps.size());
  for (int step = 0; step <= steps; ++step) {
    job.remaining_critical_paths.push_back(
        RemainingCriticalPath(request, step));
  }
  job.progress.tasks.resize(TaskCount(request));
  job.request = std::move(request);
  TallyTasks(job);
  return job;
}

auto IsFinal(JobState state) -> bool {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

auto TaskIndex(const ShardJob& job, int occurrence, int step, int index)
    -> std::size_t {
  return static_cast<std::size_t>(occurrence) * job.tasks_per_occurrence +
         job.step_offsets[static_cast<std::size_t>(step)] +
         static_cast<std::size_t>(index);
}

auto FindTask(ShardJob& job, const TaskName& name) -> TaskState* {
  const auto steps = static_cast<int>(job.request.steps.size());
  if (name.step >= steps || name.occurrence >= OccurrenceCount(job.request) ||
      name.index >=
          job.request.steps[static_cast<std::size_t>(name.step)].count) {
    return nullptr;
  }
  return &job.progress
              .tasks[TaskIndex(job, name.occurrence, name.step, name.index)];
}

auto TallyTasks(ShardJob& job) -> void {
  const int occurrences = OccurrenceCount(job.request);
  const auto steps = static_cast<int>(job.request.steps.size());
  job.tallies.assign(
      static_cast<std::size_t>(occurrences) * job.request.steps.size(), {});
  job.waiting = 0;
  job.done = 0;
  job.first_unfinished = 0;
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (int step = 0; step < steps; ++step) {
      StepTally& tally = job.tallies[TallyIndex(job, occurrence, step)];
      const int count = job.request.steps[static_cast<std::size_t>(step)].count;
      for (int index = 0; index < count; ++index) {
        const TaskState& task =
            job.progress.tasks[TaskIndex(job, occurrence, step, index)];
        tally.waiting += task.phase == RunPhase::kWaiting ? 1 : 0;
        tally.done += task.done ? 1 : 0;
      }
      job.waiting += tally.waiting;
      job.done += static_cast<std::size_t>(tally.done);
    }
  }
  SkipDoneOccurrences(job);
}

auto TallyOf(const ShardJob& job, int occurrence, int step)
    -> const StepTally& {
  return job.tallies[TallyIndex(job, occurrence, step)];
}

auto SetPhase(ShardJob& job, const TaskName& name, RunPhase phase) -> void {
  TaskState* task = FindTask(job, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "a task in a phase must exist");
  const int before = task->phase == RunPhase::kWaiting ? 1 : 0;
  const int after = phase == RunPhase::kWaiting ? 1 : 0;
  job.tallies[TallyIndex(job, name.occurrence, name.step)].waiting +=
      after - before;
  job.waiting += after - before;
  task->phase = phase;
}

auto MarkDone(ShardJob& job, const TaskName& name) -> void {
  TaskState* task = FindTask(job, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "a task that is done must exist");
  if (task->done) {
    return;
  }
  task->done = true;
  ++job.tallies[TallyIndex(job, name.occurrence, name.step)].done;
  ++job.done;
  SkipDoneOccurrences(job);
}

auto CountAssigned(const ShardJob& job, int occurrence, int step) -> int {
  const JobStep& spec = job.request.steps[static_cast<std::size_t>(step)];
  const StepTally& tally = TallyOf(job, occurrence, step);
  // Members of a gang already count as done while their last run is being
  // stopped.
  if (!spec.gang) {
    return spec.count - tally.waiting - tally.done;
  }
  int assigned = 0;
  for (int index = 0; index < spec.count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskIndex(job, occurrence, step, index)];
    assigned += task.worker.empty() ? 0 : 1;
  }
  return assigned;
}

auto IsJobDone(const ShardJob& job) -> bool {
  return job.done == job.progress.tasks.size();
}

auto IsStepDone(const ShardJob& job, int occurrence, int step) -> bool {
  return TallyOf(job, occurrence, step).done ==
         job.request.steps[static_cast<std::size_t>(step)].count;
}

auto AreDependenciesDone(const ShardJob& job, int occurrence, int step)
    -> bool {
  const JobStep& spec = job.request.steps[static_cast<std::size_t>(step)];
  return std::all_of(spec.after.begin(), spec.after.end(),
                     [&](int earlier) -> bool {
                       return IsStepDone(job, occurrence, earlier);
                     });
}

}  // namespace fireflythread
