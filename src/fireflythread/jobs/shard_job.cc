#include "fireflythread/jobs/shard_job.h"

#include <utility>

namespace fireflythread {

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
  job.progress.tasks.resize(TaskCount(request));
  job.request = std::move(request);
  return job;
}

auto IsFinal(JobState state) -> bool {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

auto TaskPlace(const ShardJob& job, int occurrence, int step, int index)
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
              .tasks[TaskPlace(job, name.occurrence, name.step, name.index)];
}

auto IsStepDone(const ShardJob& job, int occurrence, int step) -> bool {
  const int count = job.request.steps[static_cast<std::size_t>(step)].count;
  for (int index = 0; index < count; ++index) {
    if (!job.progress.tasks[TaskPlace(job, occurrence, step, index)].done) {
      return false;
    }
  }
  return true;
}

}  // namespace fireflythread
