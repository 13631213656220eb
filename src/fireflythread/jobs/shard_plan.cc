#include "fireflythread/jobs/shard_plan.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "fireflythread/jobs/ready_step.h"
#include "fireflythread/jobs/usable_workers.h"
#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

/// Makes the step that runs first the top of the heap.
struct RunsLater {
  auto operator()(const ReadyStep& left, const ReadyStep& right) const -> bool {
    return left.Key() > right.Key();
  }
};

using ReadyQueue =
    std::priority_queue<ReadyStep, std::vector<ReadyStep>, RunsLater>;

/// Returns a lower limit of the steps' needs, for each resource.
auto MinNeed(const std::vector<ReadyStep>& ready) -> TaskSize {
  TaskSize minimum =
      ready.empty() ? TaskSize{} : RequiredCapacity(SpecOf(ready.front()));
  for (const ReadyStep& each : ready) {
    const TaskSize capacity = RequiredCapacity(SpecOf(each));
    minimum = {std::min(minimum.millicores, capacity.millicores),
               std::min(minimum.memory_mb, capacity.memory_mb),
               std::min(minimum.accelerators, capacity.accelerators)};
  }
  return minimum;
}

/// Counts a started task towards its organisation's share. Fillers take only
/// what is left over, and long-running tasks do not compete with finite ones.
auto CountStart(ShardState& state, const ShardJob& job, int step, TimePoint now)
    -> void {
  const JobStep& spec = job.request.steps[static_cast<std::size_t>(step)];
  if (!spec.long_running && !spec.filler) {
    AddStartedWork(state.shares, job.request.organisation, spec.size.millicores,
                   spec.estimate, now);
  }
}

auto PlanTask(ShardState& state,
              UsableWorkers& usable,
              const TaskName& name,
              const WorkerId& worker,
              int run,
              TimePoint now) -> void {
  AssignTask(state, name, worker, RunPhase::kPlanned, now);
  UpdateFreeCapacity(usable, worker);
  FindTask(state, name)->run = run;
  ShardJob& job = state.jobs.at(name.job);
  job.progress.state = JobState::kRunning;
  state.dirty.insert(name.job);
  CountStart(state, job, name.step, now);
}

/// Reserves a worker for a task that must not wait behind the stream of short
/// tasks.
auto ReserveWorker(const ShardState& state,
                   UsableWorkers& usable,
                   const TaskName& name) -> void {
  if (const auto worker = ChooseWorkerToReserve(state, usable, name)) {
    ReserveCapacity(usable, *worker);
  }
}

/// Returns whether capacity must be reserved for a long-running task on a
/// worker that is to be drained: no other worker has any, or the task's stop is
/// in flight and the capacity must stay free.
auto NeedsReservation(const ShardState& state,
                      UsableWorkers& usable,
                      const TaskName& name) -> bool {
  return StepOf(state, name).long_running &&
         (state.stopping.contains(name) || !ChooseWorker(state, usable, name));
}

/// Reserves a worker for a long-running task that has to leave its own. While
/// all workers are full the task could not move, and the maintenance of its VM
/// would wait for the end of the peak.
auto ReserveForEviction(const ShardState& state, UsableWorkers& usable)
    -> void {
  for (const auto& [id, worker] : state.workers) {
    if (!worker.drain_requested && !worker.view.draining) {
      continue;
    }
    for (const TaskName& name : worker.tasks) {
      if (NeedsReservation(state, usable, name)) {
        ReserveWorker(state, usable, name);
        return;
      }
    }
  }
}

/// Returns whether the cap of a job's organisation leaves this much, and notes
/// the organisation if it doesn't.
auto MayHoldMore(ShardState& state, const ShardJob& job, const TaskSize& more)
    -> bool {
  const OrganisationName& organisation = job.request.organisation;
  const bool may_hold = MayHold(state.quota, organisation, more);
  if (!may_hold) {
    state.quota.blocked.insert(organisation);
  }
  return may_hold;
}

/// Returns whether all tasks that may run, and that their organisation's cap
/// leaves room for, have a worker.
auto PlanIndependentTasks(ShardState& state,
                          UsableWorkers& usable,
                          const ReadyStep& ready,
                          TimePoint now) -> bool {
  const JobStep& step = SpecOf(ready);
  TaskName name{ready.job->request.id, ready.occurrence, ready.step, 0};
  for (; name.index < step.count; ++name.index) {
    const TaskState& task = *FindTask(*ready.job, name);
    ++state.plan_cost.tasks;
    if (!MayRun(task, now)) {
      continue;
    }
    if (!MayHoldMore(state, *ready.job, step.size)) {
      // No end of a run elsewhere in the shard helps, so nothing waits for it.
      return true;
    }
    const auto worker = ChooseWorker(state, usable, name);
    if (!worker) {
      // Without a reserved worker, small tasks would fill each gap before a
      // large task fits: long-running tasks and the most urgent others get one.
      if (step.long_running || !usable.reserved) {
        ReserveWorker(state, usable, name);
      }
      return false;
    }
    PlanTask(state, usable, name, *worker, task.run + 1, now);
  }
  return true;
}

/// Returns the run number of a gang's next run; no value while a member cannot
/// start.
auto NextGangRun(ShardState& state, const ReadyStep& ready, TimePoint now)
    -> std::optional<int> {
  int run = 0;
  for (int index = 0; index < SpecOf(ready).count; ++index) {
    const TaskState& member =
        ready.job->progress
            .tasks[TaskIndex(*ready.job, ready.occurrence, ready.step, index)];
    ++state.plan_cost.tasks;
    if (!MayRun(member, now)) {
      return std::nullopt;
    }
    run = std::max(run, member.run);
  }
  return run + 1;
}

/// Assigns workers to all members of a gang or to none.
auto PlanGang(ShardState& state,
              UsableWorkers& usable,
              const ReadyStep& ready,
              TimePoint now) -> void {
  const JobStep& step = SpecOf(ready);
  const CapacityNeed need{RequiredCapacity(step), step.count,
                          step.required_label};
  if (IsKnownMiss(usable, need, CapacityRule::kFree)) {
    return;
  }
  const auto run = NextGangRun(state, ready, now);
  if (!run) {
    return;
  }
  const TaskSize gang{step.size.millicores * step.count,
                      step.size.memory_mb * step.count,
                      step.size.accelerators * step.count};
  if (!MayHoldMore(state, *ready.job, gang)) {
    return;
  }
  if (!HasCapacityForAll(usable, need)) {
    RecordMiss(usable, need, CapacityRule::kFree);
    return;
  }
  std::vector<std::pair<TaskName, WorkerId>> planned;
  for (int index = 0; index < step.count; ++index) {
    const TaskName name{ready.job->request.id, ready.occurrence, ready.step,
                        index};
    const auto worker = ChooseWorker(state, usable, name);
    if (!worker) {
      for (const auto& [member, its_worker] : planned) {
        ReleaseTask(state, member, now);
        UpdateFreeCapacity(usable, its_worker);
      }
      return;
    }
    AssignTask(state, name, *worker, RunPhase::kPlanned, now);
    UpdateFreeCapacity(usable, *worker);
    planned.emplace_back(name, *worker);
  }
  for (const auto& [member, worker] : planned) {
    FindTask(state, member)->run = *run;
    CountStart(state, *ready.job, ready.step, now);
  }
  ready.job->progress.state = JobState::kRunning;
  state.dirty.insert(ready.job->request.id);
}

/// Returns whether no step can find capacity. A reservation would have no
/// effect any more either, because it lasts for one planning step.
auto IsFull(const UsableWorkers& usable, const TaskSize& min_need) -> bool {
  return !Fits(min_need, usable.max_free);
}

}  // namespace

auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void {
  state.has_backlog = false;
  state.quota.blocked.clear();
  std::vector<ReadyStep> collected = CollectReadySteps(state, wall_now);
  if (collected.empty()) {
    return;
  }
  MarkOverShare(state, collected, now);
  UsableWorkers usable = FindUsableWorkers(state, now);
  ReserveForEviction(state, usable);
  // These choices start nothing.
  usable.kept_apart = 0;
  const TaskSize min_need = MinNeed(collected);
  ReadyQueue queue(RunsLater(), std::move(collected));
  while (!queue.empty() && !IsFull(usable, min_need)) {
    const ReadyStep ready = queue.top();
    queue.pop();
    if (SpecOf(ready).gang) {
      PlanGang(state, usable, ready, now);
    } else if (!PlanIndependentTasks(state, usable, ready, now)) {
      state.has_backlog = true;
    }
  }
  state.has_backlog = state.has_backlog || !queue.empty();
  state.plan_cost.workers += usable.cost.workers;
  state.kept_apart += usable.kept_apart;
}

}  // namespace fireflythread
