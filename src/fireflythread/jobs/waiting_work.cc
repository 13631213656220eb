#include "fireflythread/jobs/waiting_work.h"

#include <map>

#include "fireflythread/jobs/job_urgency.h"
#include "fireflythread/jobs/ready_step.h"

namespace fireflythread {
namespace {

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

auto MeasureWaitingWork(ShardState& state, WallTime wall_now, TimePoint now)
    -> WaitingWork {
  WaitingWork waiting;
  std::map<OrganisationName, TaskSize> planned;
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    const JobStep& step = SpecOf(ready);
    if (step.filler || !HasTaskToRun(ready, now)) {
      continue;
    }
    // Work that its organisation's cap keeps from starting needs no capacity.
    const OrganisationName& organisation = ready.job->request.organisation;
    const int fitting = CountThatFit(
        state.quota, organisation, planned[organisation], step.size,
        TallyOf(*ready.job, ready.occurrence, ready.step).waiting);
    planned[organisation] =
        Plus(planned[organisation],
             {step.size.millicores * fitting, step.size.memory_mb * fitting,
              step.size.accelerators * fitting});
    const std::int64_t millicores = step.size.millicores * fitting;
    if (ready.late) {
      waiting.late_millicores += millicores;
    } else {
      waiting.millicores += millicores;
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
