#include "fireflythread/jobs/drain.h"

#include <algorithm>
#include <iterator>

#include "fireflythread/jobs/usable_workers.h"
#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

constexpr int kReadyPercent = 100;

auto IsServing(const ShardState& state, const TaskState& task, TimePoint now)
    -> bool {
  if (task.phase != RunPhase::kRunning || task.percent < kReadyPercent) {
    return false;
  }
  const ShardWorker& worker = state.workers.at(task.worker);
  return worker.failed_polls == 0 &&
         now - worker.reported_at < state.limits.report_validity;
}

/// Returns the number of other tasks of the same step that are not serving.
auto CountUnavailable(const ShardState& state,
                      const TaskName& name,
                      TimePoint now) -> int {
  const ShardJob& job = state.jobs.at(name.job);
  const JobStep& step = job.request.steps[static_cast<std::size_t>(name.step)];
  int unavailable = 0;
  for (int index = 0; index < step.count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskIndex(job, name.occurrence, name.step, index)];
    if (index != name.index && !IsServing(state, task, now)) {
      ++unavailable;
    }
  }
  return unavailable;
}

/// Returns the long-running tasks on workers that are to be drained or that
/// drain themselves.
auto TasksToEvict(const ShardState& state) -> std::vector<TaskName> {
  std::vector<TaskName> evictable;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.drain_requested && !worker.view.draining) {
      continue;
    }
    std::copy_if(worker.tasks.begin(), worker.tasks.end(),
                 std::back_inserter(evictable),
                 [&state](const TaskName& name) -> bool {
                   return StepOf(state, name).long_running;
                 });
  }
  return evictable;
}

auto MayEvict(ShardState& state,
              UsableWorkers& usable,
              const TaskName& name,
              TimePoint now) -> bool {
  const JobStep& step = StepOf(state, name);
  const TaskState& task = *FindTask(state, name);
  if (task.phase != RunPhase::kRunning) {
    return false;
  }
  if (step.has_disruption_budget &&
      CountUnavailable(state, name, now) >= step.disruption_budget) {
    return false;
  }
  // Without free capacity elsewhere the task would only be unavailable for
  // longer.
  return ChooseWorker(state, usable, name).has_value();
}

}  // namespace

auto SetDraining(ShardState& state, const std::set<WorkerId>& workers) -> void {
  for (auto& [id, worker] : state.workers) {
    worker.drain_requested = workers.contains(id);
  }
}

auto EvictLongRunning(ShardState& state, TimePoint now) -> void {
  const std::vector<TaskName> evictable = TasksToEvict(state);
  if (evictable.empty()) {
    return;
  }
  UsableWorkers usable = FindUsableWorkers(state, now);
  for (const TaskName& name : evictable) {
    if (MayEvict(state, usable, name, now)) {
      BeginStop(state, name, now);
    }
  }
  state.plan_cost.workers += usable.cost.workers;
}

auto DrainedWorkers(const ShardState& state) -> std::vector<WorkerId> {
  std::vector<WorkerId> drained;
  for (const auto& [id, worker] : state.workers) {
    if (worker.drain_requested && worker.tasks.empty()) {
      drained.push_back(id);
    }
  }
  return drained;
}

}  // namespace fireflythread
