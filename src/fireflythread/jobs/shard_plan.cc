#include "fireflythread/jobs/shard_plan.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <vector>

#include "fireflythread/jobs/job_urgency.h"
#include "fireflythread/jobs/worker_choice.h"

namespace fireflythread {
namespace {

/// One step of one occurrence whose turn has come.
struct ReadyStep {
  ShardJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
  /// Tasks that are to run all the time come first: each second without them
  /// is lost for good.
  bool finite = false;
  int priority = 0;
  /// The job is not expected to meet its objective any more. A late answer is
  /// worth little, so jobs that can still be in time go first: otherwise each
  /// job of an overload would wait until it is late as well.
  bool late = false;
  WallTime deadline;

  [[nodiscard]] auto Key() const {
    return std::make_tuple(this->finite, this->late, this->priority,
                           this->deadline, this->job->request.id,
                           this->occurrence, this->step);
  }
};

auto IsTurn(const ShardJob& job, int occurrence, int step) -> bool {
  const JobStep& spec = job.request.steps[static_cast<std::size_t>(step)];
  return std::all_of(spec.after.begin(), spec.after.end(),
                     [&](int earlier) -> bool {
                       return IsStepDone(job, occurrence, earlier);
                     });
}

auto HasWaitingTask(const ShardJob& job,
                    int occurrence,
                    int step,
                    TimePoint now) -> bool {
  const int count = job.request.steps[static_cast<std::size_t>(step)].count;
  for (int index = 0; index < count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskPlace(job, occurrence, step, index)];
    if (task.phase == RunPhase::kWaiting && now >= task.not_before) {
      return true;
    }
  }
  return false;
}

auto CollectReady(ShardState& state, WallTime wall_now, TimePoint now)
    -> std::vector<ReadyStep> {
  std::vector<ReadyStep> ready;
  for (auto& [id, job] : state.jobs) {
    const auto queue = state.queues.find(job.request.queue);
    if (IsFinal(job.progress.state) || queue == state.queues.end()) {
      continue;
    }
    const auto steps = static_cast<int>(job.request.steps.size());
    for (int occurrence = 0; occurrence < OccurrenceCount(job.request);
         ++occurrence) {
      if (DueAt(job.request, occurrence) > wall_now) {
        break;
      }
      const WallTime deadline =
          DeadlineOf(job.request, queue->second, occurrence);
      for (int step = 0; step < steps; ++step) {
        if (HasWaitingTask(job, occurrence, step, now) &&
            IsTurn(job, occurrence, step)) {
          ReadyStep unit;
          unit.job = &job;
          unit.occurrence = occurrence;
          unit.step = step;
          unit.finite =
              !job.request.steps[static_cast<std::size_t>(step)].long_running;
          unit.priority = queue->second.priority;
          unit.deadline = deadline;
          unit.late = unit.finite &&
                      wall_now + RemainingChain(job.request, step) > deadline;
          ready.push_back(unit);
        }
      }
    }
  }
  std::sort(ready.begin(), ready.end(),
            [](const ReadyStep& left, const ReadyStep& right) -> bool {
              return left.Key() < right.Key();
            });
  return ready;
}

auto PlanTask(ShardState& state,
              const TaskName& name,
              const WorkerId& worker,
              int run,
              TimePoint now) -> void {
  AssignTask(state, name, worker, RunPhase::kPlanned, now);
  FindTask(state, name)->run = run;
  ShardJob& job = state.jobs.at(name.job);
  job.progress.state = JobState::kRunning;
  state.dirty.insert(name.job);
}

/// Keeps the next room on a worker for a task that must not wait behind the
/// stream of short tasks.
auto ReserveWorker(const ShardState& state,
                   const TaskName& name,
                   std::set<WorkerId>& reserved,
                   TimePoint now) -> void {
  if (const auto worker = ChooseWorkerToClear(state, name, reserved, now)) {
    reserved.insert(*worker);
  }
}

/// Whether a lasting task on a worker that is to be emptied needs room kept for
/// it: none is free, or its stop is on the way and the room must stay free.
auto NeedsRoomKept(const ShardState& state, const TaskName& name, TimePoint now)
    -> bool {
  return StepOf(state, name).long_running &&
         (state.stopping.contains(name) || !ChooseWorker(state, name, {}, now));
}

/// Keeps the next room for a lasting task that has to leave its worker. While
/// all workers are full it could not move, and its VM's maintenance would wait
/// for the end of the peak.
auto ReserveForEviction(const ShardState& state,
                        std::set<WorkerId>& reserved,
                        TimePoint now) -> void {
  for (const auto& [id, worker] : state.workers) {
    if (!worker.vacating && !worker.view.draining) {
      continue;
    }
    for (const TaskName& name : worker.tasks) {
      if (NeedsRoomKept(state, name, now)) {
        ReserveWorker(state, name, reserved, now);
        return;
      }
    }
  }
}

auto PlanSingles(ShardState& state,
                 const ReadyStep& ready,
                 std::set<WorkerId>& reserved,
                 TimePoint now) -> void {
  ShardJob& job = *ready.job;
  const JobStep& step = job.request.steps[static_cast<std::size_t>(ready.step)];
  for (int index = 0; index < step.count; ++index) {
    const TaskName name{job.request.id, ready.occurrence, ready.step, index};
    const TaskState& task = *FindTask(job, name);
    if (task.phase != RunPhase::kWaiting || now < task.not_before) {
      continue;
    }
    const auto worker = ChooseWorker(state, name, reserved, now);
    if (!worker) {
      // Without a worker kept free, small tasks would fill each gap before a
      // large one fits: lasting tasks and the most urgent others get one.
      if (step.long_running || reserved.empty()) {
        ReserveWorker(state, name, reserved, now);
      }
      return;
    }
    PlanTask(state, name, *worker, task.run + 1, now);
  }
}

/// All members of a gang get workers, or none.
auto PlanGang(ShardState& state,
              const ReadyStep& ready,
              const std::set<WorkerId>& reserved,
              TimePoint now) -> void {
  ShardJob& job = *ready.job;
  const int count =
      job.request.steps[static_cast<std::size_t>(ready.step)].count;
  int run = 0;
  for (int index = 0; index < count; ++index) {
    const TaskState& member =
        job.progress.tasks[TaskPlace(job, ready.occurrence, ready.step, index)];
    if (member.phase != RunPhase::kWaiting || now < member.not_before) {
      return;
    }
    run = std::max(run, member.run);
  }
  std::vector<TaskName> planned;
  for (int index = 0; index < count; ++index) {
    const TaskName name{job.request.id, ready.occurrence, ready.step, index};
    const auto worker = ChooseWorker(state, name, reserved, now);
    if (!worker) {
      for (const TaskName& member : planned) {
        ReleaseTask(state, member, now);
      }
      return;
    }
    AssignTask(state, name, *worker, RunPhase::kPlanned, now);
    planned.push_back(name);
  }
  for (const TaskName& member : planned) {
    FindTask(state, member)->run = run + 1;
  }
  job.progress.state = JobState::kRunning;
  state.dirty.insert(job.request.id);
}

}  // namespace

auto PlanRuns(ShardState& state, WallTime wall_now, TimePoint now) -> void {
  std::set<WorkerId> reserved;
  ReserveForEviction(state, reserved, now);
  for (const ReadyStep& ready : CollectReady(state, wall_now, now)) {
    const JobStep& step =
        ready.job->request.steps[static_cast<std::size_t>(ready.step)];
    if (step.gang) {
      PlanGang(state, ready, reserved, now);
    } else {
      PlanSingles(state, ready, reserved, now);
    }
  }
}

auto WaitingMillicores(ShardState& state, WallTime wall_now, TimePoint now)
    -> std::int64_t {
  std::int64_t waiting = 0;
  for (const ReadyStep& ready : CollectReady(state, wall_now, now)) {
    const JobStep& step =
        ready.job->request.steps[static_cast<std::size_t>(ready.step)];
    if (ready.late || step.filler) {
      continue;
    }
    for (int index = 0; index < step.count; ++index) {
      const TaskState& task = ready.job->progress.tasks[TaskPlace(
          *ready.job, ready.occurrence, ready.step, index)];
      if (task.phase == RunPhase::kWaiting) {
        waiting += step.size.millicores;
      }
    }
  }
  return waiting;
}

auto LateMillicores(const ShardState& state, WallTime wall_now)
    -> std::int64_t {
  std::int64_t late = 0;
  for (const auto& [id, worker] : state.workers) {
    for (const TaskName& name : worker.tasks) {
      const ShardJob& job = state.jobs.at(name.job);
      const JobStep& step = StepOf(state, name);
      const auto queue = state.queues.find(job.request.queue);
      if (step.long_running || step.filler || queue == state.queues.end()) {
        continue;
      }
      // What is left of the running step itself is not known.
      const WallTime deadline =
          DeadlineOf(job.request, queue->second, name.occurrence);
      if (wall_now + RemainingChain(job.request, name.step + 1) > deadline) {
        late += step.size.millicores;
      }
    }
  }
  return late;
}

}  // namespace fireflythread
