#ifndef FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_
#define FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_

#include <cstddef>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/plan_cost.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Reports once a second the state of a shard as its owner knows it, the age of
/// this information and the time spent, in one log line and in metrics.
class ShardMonitor {
 public:
  ShardMonitor(const Logger& logger, MetricsRegistry& metrics);
  ShardMonitor(const ShardMonitor&) = delete;
  auto operator=(const ShardMonitor&) -> ShardMonitor& = delete;

  /// Records the start and end time of a step of the owner.
  auto RecordStep(TimePoint began, TimePoint ended) -> void;
  /// Counts a start that was answered.
  auto RecordStart() -> void { ++this->starts; }
  /// Counts the completion of a run.
  auto RecordCompletion() -> void { ++this->completions; }
  /// Records how long a transaction that stores progress took.
  auto RecordStoreTime(Duration took) -> void;
  /// Counts a poll of a worker and whether it failed.
  auto RecordPoll(bool failed) -> void;
  /// Records the time as of which the jobs are known, which is when the feed
  /// was answered or a read began, and the number of rows received.
  auto RecordFeed(TimePoint answered, std::size_t rows) -> void;
  /// Returns the time as of which the jobs are known.
  [[nodiscard]] auto FeedAt() const -> TimePoint { return this->feed_at; }

  /// Logs the report and sets the metrics when the period is over.
  auto Report(const ShardState& state, bool loaded, TimePoint now) -> void;

 private:
  /// Logs the step that has waited longest.
  auto ReportWait(const ShardState& state, TimePoint now) -> void;
  /// Logs which organisations wait for what, those with the most waiting jobs,
  /// and counts them by cause.
  auto ReportOrganisations(const ShardState& state, TimePoint now) -> void;
  /// Sets the age of the oldest task in each phase, and logs those that stay in
  /// a phase that should be short.
  auto ReportOldestTasks(const ShardState& state, TimePoint now) -> void;

  const Logger& logger;
  MetricsRegistry& metrics;
  TimePoint reported_at;
  TimePoint last_step;
  int steps = 0;
  Duration step_time{0};
  Duration max_step_time{0};
  /// Longest time between the starts of two consecutive steps.
  Duration max_step_gap{0};
  /// The cumulative cost of planning at the last report.
  PlanCost plan_cost;
  int starts = 0;
  int completions = 0;
  int stores = 0;
  Duration store_time{0};
  int polls = 0;
  int failed_polls = 0;
  /// Time as of which the shard's jobs are known.
  TimePoint feed_at;
  std::size_t feed_rows = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_
