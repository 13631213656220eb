#include "fireflythread/jobs/shard_plan.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "fireflythread/jobs/job_urgency.h"
#include "fireflythread/jobs/usable_workers.h"
#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

/// A step of one occurrence that is ready to run.
struct ReadyStep {
  ShardJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
  /// Long-running tasks come first: time without them cannot be made up.
  bool finite = false;
  int priority = 0;
  /// The job is not expected to meet its deadline any more. Jobs that can still
  /// be in time go first, because a late result is worth little: otherwise, in
  /// an overload, each job would wait until it is late as well.
  bool late = false;
  WallTime deadline;
  /// Position in the order of job ids, occurrences and steps, which breaks ties
  /// between otherwise equal steps.
  std::size_t position = 0;

  [[nodiscard]] auto Key() const {
    return std::make_tuple(this->finite, this->late, this->priority,
                           this->deadline, this->position);
  }
};

/// Makes the step that runs first the top of the heap.
struct RunsLater {
  auto operator()(const ReadyStep& left, const ReadyStep& right) const -> bool {
    return left.Key() > right.Key();
  }
};

using ReadyQueue =
    std::priority_queue<ReadyStep, std::vector<ReadyStep>, RunsLater>;

auto SpecOf(const ReadyStep& ready) -> const JobStep& {
  return ready.job->request.steps[static_cast<std::size_t>(ready.step)];
}

auto MakeReadyStep(ShardJob& job,
                   const QueueTerms& terms,
                   int occurrence,
                   int step,
                   WallTime wall_now) -> ReadyStep {
  ReadyStep ready;
  ready.job = &job;
  ready.occurrence = occurrence;
  ready.step = step;
  ready.finite = !SpecOf(ready).long_running;
  ready.priority = terms.priority;
  ready.deadline = DeadlineOf(job, terms, occurrence);
  ready.late =
      ready.finite &&
      wall_now + job.remaining_critical_paths[static_cast<std::size_t>(step)] >
          ready.deadline;
  return ready;
}

/// Adds the steps of a job that are ready and have a waiting task.
auto CollectReadyStepsOf(ShardJob& job,
                         const QueueTerms& terms,
                         WallTime wall_now,
                         std::vector<ReadyStep>& ready) -> void {
  const auto steps = static_cast<int>(job.request.steps.size());
  const int occurrences = OccurrenceCount(job.request);
  for (int occurrence = job.first_unfinished; occurrence < occurrences;
       ++occurrence) {
    if (DueAt(job.request, occurrence) > wall_now) {
      return;
    }
    for (int step = 0; step < steps; ++step) {
      if (TallyOf(job, occurrence, step).waiting > 0 &&
          AreDependenciesDone(job, occurrence, step)) {
        ready.push_back(MakeReadyStep(job, terms, occurrence, step, wall_now));
        ready.back().position = ready.size();
      }
    }
  }
}

/// Returns the ready steps in no particular order. All waiting tasks of a step
/// may still be delayed by a failure.
auto CollectReadySteps(ShardState& state, WallTime wall_now)
    -> std::vector<ReadyStep> {
  std::vector<ReadyStep> ready;
  for (auto& [id, job] : state.jobs) {
    if (job.waiting == 0 || IsFinal(job.progress.state)) {
      continue;
    }
    if (const QueueTerms* terms = TermsOf(state, job)) {
      CollectReadyStepsOf(job, *terms, wall_now, ready);
    }
  }
  state.plan_cost.steps += static_cast<std::int64_t>(ready.size());
  return ready;
}

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

auto MayRun(const TaskState& task, TimePoint now) -> bool {
  return task.phase == RunPhase::kWaiting && now >= task.not_before;
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

/// Returns whether all tasks that may run have a worker.
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
  }
  ready.job->progress.state = JobState::kRunning;
  state.dirty.insert(ready.job->request.id);
}

/// Returns whether no step can find capacity. A reservation would have no
/// effect any more either, because it lasts for one planning step.
auto IsFull(const UsableWorkers& usable, const TaskSize& min_need) -> bool {
  return !Fits(min_need, usable.max_free);
}

auto HasTaskToRun(const ReadyStep& ready, TimePoint now) -> bool {
  for (int index = 0; index < SpecOf(ready).count; ++index) {
    if (MayRun(ready.job->progress.tasks[TaskIndex(*ready.job, ready.occurrence,
                                                   ready.step, index)],
               now)) {
      return true;
    }
  }
  return false;
}

/// Returns the cores, in thousandths, of a job's finite tasks that run in late
/// occurrences.
auto LateMillicoresOf(const ShardJob& job,
                      const QueueTerms& terms,
                      WallTime wall_now) -> std::int64_t {
  std::int64_t late = 0;
  const auto steps = static_cast<int>(job.request.steps.size());
  const int occurrences = OccurrenceCount(job.request);
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    const WallTime deadline = DeadlineOf(job, terms, occurrence);
    for (int step = 0; step < steps; ++step) {
      const auto position = static_cast<std::size_t>(step);
      const JobStep& spec = job.request.steps[position];
      // The remaining time of the running step itself is unknown.
      if (!spec.long_running && !spec.filler &&
          wall_now + job.remaining_critical_paths[position + 1] > deadline) {
        late += spec.size.millicores * CountAssigned(job, occurrence, step);
      }
    }
  }
  return late;
}

}  // namespace

auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void {
  state.has_backlog = false;
  std::vector<ReadyStep> collected = CollectReadySteps(state, wall_now);
  if (collected.empty()) {
    return;
  }
  UsableWorkers usable = FindUsableWorkers(state, now);
  ReserveForEviction(state, usable);
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
}

auto WaitingMillicores(ShardState& state, WallTime wall_now, TimePoint now)
    -> std::int64_t {
  std::int64_t waiting = 0;
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    const JobStep& step = SpecOf(ready);
    if (!ready.late && !step.filler && HasTaskToRun(ready, now)) {
      waiting += step.size.millicores *
                 TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
    }
  }
  return waiting;
}

auto LateMillicores(const ShardState& state, WallTime wall_now)
    -> std::int64_t {
  std::int64_t late = 0;
  for (const auto& [id, job] : state.jobs) {
    const QueueTerms* terms = TermsOf(state, job);
    if (job.assigned > 0 && terms != nullptr) {
      late += LateMillicoresOf(job, *terms, wall_now);
    }
  }
  return late;
}

}  // namespace fireflythread
