#include "fireflythread/jobs/shard_summary.h"

#include <algorithm>

namespace fireflythread {
namespace {

auto CountWorker(ShardSummary& summary,
                 const ShardWorker& worker,
                 TimePoint now) -> void {
  if (!worker.listed || worker.gone) {
    ++summary.not_listed;
  } else if (worker.failed_polls > 0) {
    ++summary.not_answering;
  } else if (!worker.confirmed || !worker.clock) {
    ++summary.not_confirmed;
  } else if (worker.drain_requested || worker.view.draining) {
    ++summary.leaving;
  } else if (now < worker.cooldown_until) {
    ++summary.paused;
  } else {
    ++summary.usable;
    summary.usable_millicores += worker.view.capacity.millicores;
  }
}

}  // namespace

auto SummarizeShard(const ShardState& state, TimePoint now) -> ShardSummary {
  ShardSummary summary;
  summary.open_jobs = static_cast<int>(state.jobs.size());
  for (const auto& [id, job] : state.jobs) {
    summary.waiting_jobs +=
        !job.has_started && !IsFinal(job.progress.state) ? 1 : 0;
  }
  summary.workers = static_cast<int>(state.workers.size());
  for (const auto& [id, worker] : state.workers) {
    CountWorker(summary, worker, now);
    summary.used_millicores += worker.used.millicores;
    summary.assigned_tasks += static_cast<int>(worker.tasks.size());
    if (!worker.tasks.empty()) {
      const TimePoint since = std::max(worker.reported_at, state.owned_since);
      summary.oldest_report = std::max(summary.oldest_report, now - since);
    }
  }
  return summary;
}

}  // namespace fireflythread
