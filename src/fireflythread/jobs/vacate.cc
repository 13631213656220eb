#include "fireflythread/jobs/vacate.h"

#include <algorithm>
#include <iterator>

#include "fireflythread/jobs/open_workers.h"
#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

constexpr int kAtWorkPercent = 100;

auto IsAtWork(const ShardState& state, const TaskState& task, TimePoint now)
    -> bool {
  if (task.phase != RunPhase::kRunning || task.percent < kAtWorkPercent) {
    return false;
  }
  const ShardWorker& worker = state.workers.at(task.worker);
  return worker.failed_polls == 0 &&
         now - worker.reported_at < state.limits.report_validity;
}

/// Other tasks of the same step that are not at work.
auto CountAway(const ShardState& state, const TaskName& name, TimePoint now)
    -> int {
  const ShardJob& job = state.jobs.at(name.job);
  const JobStep& step = job.request.steps[static_cast<std::size_t>(name.step)];
  int away = 0;
  for (int index = 0; index < step.count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskPlace(job, name.occurrence, name.step, index)];
    if (index != name.index && !IsAtWork(state, task, now)) {
      ++away;
    }
  }
  return away;
}

/// Lasting tasks on workers that are emptied or that drain.
auto LeavingTasks(const ShardState& state) -> std::vector<TaskName> {
  std::vector<TaskName> leaving;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.vacating && !worker.view.draining) {
      continue;
    }
    std::copy_if(worker.tasks.begin(), worker.tasks.end(),
                 std::back_inserter(leaving),
                 [&state](const TaskName& name) -> bool {
                   return StepOf(state, name).long_running;
                 });
  }
  return leaving;
}

auto MayStop(ShardState& state,
             OpenWorkers& open,
             const TaskName& name,
             TimePoint now) -> bool {
  const JobStep& step = StepOf(state, name);
  const TaskState& task = *FindTask(state, name);
  if (task.phase != RunPhase::kRunning) {
    return false;
  }
  if (step.has_disruption_budget &&
      CountAway(state, name, now) >= step.disruption_budget) {
    return false;
  }
  // Without room elsewhere the task would only be away for longer.
  return ChooseWorker(state, open, name).has_value();
}

}  // namespace

auto SetVacating(ShardState& state, const std::set<WorkerId>& workers) -> void {
  for (auto& [id, worker] : state.workers) {
    worker.vacating = workers.contains(id);
  }
}

auto EvictLasting(ShardState& state, TimePoint now) -> void {
  const std::vector<TaskName> leaving = LeavingTasks(state);
  if (leaving.empty()) {
    return;
  }
  OpenWorkers open = FindOpenWorkers(state, now);
  for (const TaskName& name : leaving) {
    if (MayStop(state, open, name, now)) {
      BeginStop(state, name, now);
    }
  }
  state.plan_cost.workers += open.cost.workers;
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
