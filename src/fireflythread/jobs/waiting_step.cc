#include "fireflythread/jobs/waiting_step.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "fireflythread/jobs/job_urgency.h"
#include "fireflythread/jobs/usable_workers.h"

namespace fireflythread {
namespace {

/// A ready step and the time that its longest waiting task has waited.
struct Candidate {
  const ShardJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
  Duration waited{0};
};

/// Returns how long a waiting task has waited. A task without a run has waited
/// since the job could begin. When a former owner saw a run end is not known.
auto WaitOf(const ShardState& state,
            const ShardJob& job,
            const TaskState& task,
            int occurrence,
            WallTime wall_now,
            TimePoint now) -> Duration {
  if (task.run > 0) {
    return now - std::max(task.since, state.owned_since);
  }
  return wall_now -
         std::max(job.request.accepted_at, DueAt(job.request, occurrence));
}

auto LongestWaitIn(const ShardState& state,
                   const ShardJob& job,
                   int occurrence,
                   int step,
                   WallTime wall_now,
                   TimePoint now) -> Duration {
  Duration longest{0};
  const int count = job.request.steps[static_cast<std::size_t>(step)].count;
  for (int index = 0; index < count; ++index) {
    const TaskState& task =
        job.progress.tasks[TaskIndex(job, occurrence, step, index)];
    if (task.phase == RunPhase::kWaiting && now >= task.not_before) {
      longest = std::max(longest,
                         WaitOf(state, job, task, occurrence, wall_now, now));
    }
  }
  return longest;
}

/// Replaces the candidate by a step of the job that has waited longer.
auto ConsiderJob(const ShardState& state,
                 const ShardJob& job,
                 WallTime wall_now,
                 TimePoint now,
                 Candidate& longest) -> void {
  const auto steps = static_cast<int>(job.request.steps.size());
  const int occurrences = OccurrenceCount(job.request);
  for (int occurrence = job.first_unfinished; occurrence < occurrences;
       ++occurrence) {
    if (DueAt(job.request, occurrence) > wall_now) {
      return;
    }
    for (int step = 0; step < steps; ++step) {
      if (TallyOf(job, occurrence, step).waiting == 0 ||
          !AreDependenciesDone(job, occurrence, step)) {
        continue;
      }
      const Duration waited =
          LongestWaitIn(state, job, occurrence, step, wall_now, now);
      if (waited > longest.waited) {
        longest = {&job, occurrence, step, waited};
      }
    }
  }
}

auto CountWorkers(const ShardState& state, TimePoint now, WaitingStep& waiting)
    -> void {
  const UsableWorkers usable = FindUsableWorkers(state, now);
  waiting.usable_workers = static_cast<int>(usable.workers.size());
  waiting.max_free = usable.max_free;
  for (const UsableWorker& each : usable.workers) {
    const ShardWorker& worker = *each.worker;
    const TaskSize without_finite =
        Minus(worker.view.capacity, worker.long_running_used);
    waiting.fitting_workers += Fits(waiting.need, each.free) ? 1 : 0;
    waiting.emptying_workers += Fits(waiting.need, without_finite) ? 1 : 0;
    waiting.long_running_workers += worker.long_running_tasks > 0 ? 1 : 0;
  }
  for (const auto& [id, worker] : state.workers) {
    const bool leaves = worker.drain_requested || worker.view.draining;
    waiting.leaving_workers += worker.listed && leaves ? 1 : 0;
  }
}

}  // namespace

auto FindLongestWait(const ShardState& state,
                     Duration min_wait,
                     WallTime wall_now,
                     TimePoint now) -> std::optional<WaitingStep> {
  Candidate longest;
  for (const auto& [id, job] : state.jobs) {
    if (job.waiting > 0 && !IsFinal(job.progress.state)) {
      ConsiderJob(state, job, wall_now, now, longest);
    }
  }
  if (longest.job == nullptr || longest.waited < min_wait) {
    return std::nullopt;
  }
  const ShardJob& job = *longest.job;
  const auto position = static_cast<std::size_t>(longest.step);
  const JobStep& step = job.request.steps[position];
  WaitingStep waiting;
  waiting.job = job.request.id;
  waiting.step = longest.step;
  waiting.waiting_tasks =
      TallyOf(job, longest.occurrence, longest.step).waiting;
  waiting.waited = longest.waited;
  waiting.long_running = step.long_running;
  waiting.need = RequiredCapacity(step);
  if (const QueueTerms* terms = TermsOf(state, job)) {
    waiting.late = !step.long_running &&
                   wall_now + job.remaining_critical_paths[position] >
                       DeadlineOf(job, *terms, longest.occurrence);
  }
  CountWorkers(state, now, waiting);
  return waiting;
}

}  // namespace fireflythread
