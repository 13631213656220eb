#include "fireflythread/jobs/ready_step.h"

#include <algorithm>
#include <set>

#include "fireflythread/jobs/job_urgency.h"

namespace fireflythread {
namespace {

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

/// Returns whether a late step's job would end too late to be of use.
auto IsExpired(const ReadyStep& ready, WallTime wall_now) -> bool {
  const JobRequest& request = ready.job->request;
  const WallTime begin =
      std::max(DueAt(request, ready.occurrence), request.accepted_at);
  const WallTime last_use =
      begin + (ready.deadline - begin) * kUsefulObjectives;
  const auto position = static_cast<std::size_t>(ready.step);
  return wall_now + ready.job->remaining_critical_paths[position] > last_use;
}

/// Adds the steps of a job that are ready and have a waiting task. `competing`
/// says that organisations compete for the workers.
auto CollectReadyStepsOf(ShardJob& job,
                         const QueueTerms& terms,
                         bool competing,
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
        ready.back().expired =
            competing && ready.back().late && IsExpired(ready.back(), wall_now);
        ready.back().position = ready.size();
      }
    }
  }
}

}  // namespace

auto SpecOf(const ReadyStep& ready) -> const JobStep& {
  return ready.job->request.steps[static_cast<std::size_t>(ready.step)];
}

auto CollectReadySteps(ShardState& state, WallTime wall_now)
    -> std::vector<ReadyStep> {
  std::vector<ReadyStep> ready;
  const bool competing = !state.shares.weights.empty();
  for (auto& [id, job] : state.jobs) {
    if (job.waiting == 0 || IsFinal(job.progress.state)) {
      continue;
    }
    if (const QueueTerms* terms = TermsOf(state, job)) {
      CollectReadyStepsOf(job, *terms, competing, wall_now, ready);
    }
  }
  state.plan_cost.steps += static_cast<std::int64_t>(ready.size());
  return ready;
}

auto MarkOverShare(const ShardState& state,
                   std::vector<ReadyStep>& ready,
                   TimePoint now) -> void {
  if (state.shares.weights.empty()) {
    return;
  }
  std::set<OrganisationName> competing;
  for (const ReadyStep& each : ready) {
    if (each.finite) {
      competing.insert(each.job->request.organisation);
    }
  }
  const std::set<OrganisationName> over =
      FindOverShare(state.shares, competing, now);
  for (ReadyStep& each : ready) {
    each.over_share =
        each.finite && over.contains(each.job->request.organisation);
  }
}

auto MayRun(const TaskState& task, TimePoint now) -> bool {
  return task.phase == RunPhase::kWaiting && now >= task.not_before;
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

}  // namespace fireflythread
