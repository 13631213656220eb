#include "fireflythread/entry/shard_monitor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "fireflythread/jobs/oldest_task.h"
#include "fireflythread/jobs/organisation_wait.h"
#include "fireflythread/jobs/shard_summary.h"
#include "fireflythread/jobs/waiting_step.h"

namespace fireflythread {
namespace {

constexpr std::chrono::seconds kReportPeriod{1};

/// Shorter waits are ordinary in a peak and are not reported.
constexpr std::chrono::seconds kMinReportedWait{3};

/// Organisations that are named in one report.
constexpr std::size_t kMaxReportedOrganisations = 5;

/// The phases in which a run may exist.
constexpr std::array<RunPhase, 5> kAssignedPhases = {
    RunPhase::kPlanned, RunPhase::kStarting, RunPhase::kRunning,
    RunPhase::kUnresolved, RunPhase::kStopping};

auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

ShardMonitor::ShardMonitor(const Logger& log, MetricsRegistry& registry)
    : logger(log), metrics(registry) {}

auto ShardMonitor::RecordStep(TimePoint began, TimePoint ended) -> void {
  const Duration took = ended - began;
  this->metrics
      .GetHistogram("fireflythread_shard_step_seconds",
                    "Processor time of one step of a shard's owner")
      .Observe(took);
  ++this->steps;
  this->step_time += took;
  this->max_step_time = std::max(this->max_step_time, took);
  if (this->last_step != TimePoint()) {
    this->max_step_gap = std::max(this->max_step_gap, began - this->last_step);
  }
  this->last_step = began;
}

auto ShardMonitor::RecordStoreTime(Duration took) -> void {
  this->metrics
      .GetHistogram("fireflythread_progress_store_seconds",
                    "Time of a transaction that stores progress")
      .Observe(took);
  ++this->stores;
  this->store_time += took;
}

auto ShardMonitor::RecordPoll(bool failed) -> void {
  ++this->polls;
  this->failed_polls += failed ? 1 : 0;
}

auto ShardMonitor::RecordFeed(TimePoint answered, std::size_t rows) -> void {
  this->feed_at = answered;
  this->feed_rows += rows;
}

auto ShardMonitor::ReportWait(const ShardState& state, TimePoint now) -> void {
  const auto waiting = FindLongestWait(state, kMinReportedWait,
                                       std::chrono::system_clock::now(), now);
  if (!waiting) {
    return;
  }
  this->logger.Info("shard", "step_waits",
                    {{"shard", state.shard},
                     {"job", waiting->job},
                     {"step", waiting->step},
                     {"waiting_tasks", waiting->waiting_tasks},
                     {"waited_ms", ToMilliseconds(waiting->waited)},
                     {"late", waiting->late},
                     {"long_running", waiting->long_running},
                     {"need_millicores", waiting->need.millicores},
                     {"need_memory_mb", waiting->need.memory_mb},
                     {"usable", waiting->usable_workers},
                     {"fitting", waiting->fitting_workers},
                     {"fitting_without_finite", waiting->emptying_workers},
                     {"with_long_running", waiting->long_running_workers},
                     {"leaving", waiting->leaving_workers},
                     {"most_free_millicores", waiting->max_free.millicores},
                     {"most_free_memory_mb", waiting->max_free.memory_mb}});
}

auto ShardMonitor::ReportOrganisations(const ShardState& state, TimePoint now)
    -> void {
  if (state.shares.weights.empty()) {
    return;
  }
  const std::vector<OrganisationWait> waits = FindOrganisationWaits(state, now);
  for (const WaitCause cause :
       {WaitCause::kCap, WaitCause::kShare, WaitCause::kRoom}) {
    const auto waiting = std::count_if(
        waits.begin(), waits.end(),
        [cause](const OrganisationWait& wait) { return wait.cause == cause; });
    this->metrics
        .GetGauge("fireflythread_waiting_organisations",
                  "Organisations with waiting tasks, by what they wait for",
                  {{"shard", state.shard.value},
                   {"cause", std::string(WaitCauseName(cause))}})
        .Set(static_cast<double>(waiting));
  }
  const std::size_t reported =
      std::min(waits.size(), kMaxReportedOrganisations);
  for (std::size_t index = 0; index < reported; ++index) {
    const OrganisationWait& wait = waits[index];
    this->logger.Info("shard", "organisation_waits",
                      {{"shard", state.shard},
                       {"organisation", wait.organisation},
                       {"cause", WaitCauseName(wait.cause)},
                       {"waiting_jobs", wait.waiting_jobs},
                       {"held_millicores", wait.held.millicores},
                       {"held_memory_mb", wait.held.memory_mb},
                       {"limit_millicores", wait.limit.millicores},
                       {"limit_memory_mb", wait.limit.memory_mb}});
  }
}

auto ShardMonitor::ReportOldestTasks(const ShardState& state, TimePoint now)
    -> void {
  const std::map<RunPhase, OldestTask> oldest = FindOldestTasks(state, now);
  for (const RunPhase phase : kAssignedPhases) {
    const auto found = oldest.find(phase);
    const Duration age =
        found == oldest.end() ? Duration(0) : found->second.in_phase;
    const std::string phase_name(RunPhaseName(phase));
    this->metrics
        .GetGauge("fireflythread_oldest_task_seconds",
                  "Time that the oldest task in a phase has been in it",
                  {{"shard", state.shard.value}, {"phase", phase_name}})
        .Set(std::chrono::duration<double>(age).count());
    if (phase == RunPhase::kRunning || age < kMinReportedWait) {
      continue;
    }
    const OldestTask& task = found->second;
    this->logger.Info("shard", "task_lingers",
                      {{"shard", state.shard},
                       {"job", task.task.job},
                       {"task", FormatTaskName(task.task)},
                       {"run", task.run},
                       {"worker", task.worker},
                       {"phase", phase_name},
                       {"in_phase_ms", ToMilliseconds(task.in_phase)}});
  }
}

auto ShardMonitor::Report(const ShardState& state, bool loaded, TimePoint now)
    -> void {
  if (now - this->reported_at < kReportPeriod) {
    return;
  }
  this->reported_at = now;
  const ShardSummary summary = SummarizeShard(state, now);
  this->metrics
      .GetGauge("fireflythread_shard_oldest_report_seconds",
                "Time since the oldest report of a worker with runs",
                {{"shard", state.shard.value}})
      .Set(std::chrono::duration<double>(summary.oldest_report).count());
  this->logger.Info(
      "shard", "shard_status",
      {{"shard", state.shard},
       {"fence", state.fence},
       {"loaded", loaded},
       {"open_jobs", summary.open_jobs},
       {"waiting_jobs", summary.waiting_jobs},
       {"assigned_tasks", summary.assigned_tasks},
       {"unstored_jobs", state.dirty.size()},
       {"unmoved_jobs", state.unmoved.size()},
       {"workers", summary.workers},
       {"usable", summary.usable},
       {"not_listed", summary.not_listed},
       {"not_confirmed", summary.not_confirmed},
       {"leaving", summary.leaving},
       {"not_answering", summary.not_answering},
       {"paused", summary.paused},
       {"used_millicores", summary.used_millicores},
       {"usable_millicores", summary.usable_millicores},
       {"oldest_report_ms", ToMilliseconds(summary.oldest_report)},
       {"feed_age_ms",
        ToMilliseconds(now - std::max(this->feed_at, state.owned_since))},
       {"feed_rows", this->feed_rows},
       {"starts", this->starts},
       {"ends", this->completions},
       {"looks", this->polls},
       {"failed_looks", this->failed_polls},
       {"stores", this->stores},
       {"store_ms", ToMilliseconds(this->store_time)},
       {"steps", this->steps},
       {"step_ms", ToMilliseconds(this->step_time)},
       {"planned_steps", state.plan_cost.steps - this->plan_cost.steps},
       {"planned_tasks", state.plan_cost.tasks - this->plan_cost.tasks},
       {"planned_workers", state.plan_cost.workers - this->plan_cost.workers},
       {"longest_step_ms", ToMilliseconds(this->max_step_time)},
       {"longest_gap_ms", ToMilliseconds(this->max_step_gap)}});
  this->ReportWait(state, now);
  this->ReportOrganisations(state, now);
  this->ReportOldestTasks(state, now);
  this->plan_cost = state.plan_cost;
  this->feed_rows = 0;
  this->starts = 0;
  this->completions = 0;
  this->polls = 0;
  this->failed_polls = 0;
  this->stores = 0;
  this->store_time = Duration{0};
  this->steps = 0;
  this->step_time = Duration{0};
  this->max_step_time = Duration{0};
  this->max_step_gap = Duration{0};
}

}  // namespace fireflythread
