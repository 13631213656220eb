#include "fireflythread/jobs/vacate.h"

#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

constexpr int kAtWorkPercent = 100;

auto IsAtWork(const TaskState& task) -> bool {
  return task.phase == RunPhase::kRunning && task.percent >= kAtWorkPercent;
}

/// Other tasks of the same step that are not at work.
auto CountAway(const ShardJob& job, const TaskName& name) -> int {
  const JobStep& step = job.request.steps[static_cast<std::size_t>(name.step)];
  int away = 0;
  for (int index = 0; index < step.count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskPlace(job, name.occurrence, name.step, index)];
    if (index != name.index && !IsAtWork(task)) {
      ++away;
    }
  }
  return away;
}

auto MayStop(ShardState& state, const TaskName& name, TimePoint now) -> bool {
  const ShardJob& job = state.jobs.at(name.job);
  const JobStep& step = StepOf(state, name);
  const TaskState& task = *FindTask(state, name);
  if (!step.long_running || task.phase != RunPhase::kRunning) {
    return false;
  }
  if (step.has_disruption_budget &&
      CountAway(job, name) >= step.disruption_budget) {
    return false;
  }
  // Without room elsewhere the task would only be away for longer.
  return ChooseWorker(state, name, {}, now).has_value();
}

}  // namespace

auto SetVacating(ShardState& state, const std::set<WorkerId>& workers) -> void {
  for (auto& [id, worker] : state.workers) {
    worker.vacating = workers.contains(id);
  }
}

auto EvictLasting(ShardState& state, TimePoint now) -> void {
  for (auto& [id, worker] : state.workers) {
    if (!worker.vacating && !worker.view.draining) {
      continue;
    }
    for (const TaskName& name : worker.tasks) {
      if (MayStop(state, name, now)) {
        BeginStop(state, name, now);
      }
    }
  }
}

auto VacatedWorkers(const ShardState& state) -> std::vector<WorkerId> {
  std::vector<WorkerId> vacated;
  for (const auto& [id, worker] : state.workers) {
    if (worker.vacating && worker.tasks.empty()) {
      vacated.push_back(id);
    }
  }
  return vacated;
}

}  // namespace fireflythread
