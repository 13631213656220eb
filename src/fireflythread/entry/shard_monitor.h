#ifndef FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_
#define FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_

#include <cstddef>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/plan_cost.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Tells once a second what the owner of a shard believes, how old that is and
/// where its time goes: one log line and the metrics of the same figures.
class ShardMonitor {
 public:
  ShardMonitor(const Logger& logger, MetricsRegistry& metrics);
  ShardMonitor(const ShardMonitor&) = delete;
  auto operator=(const ShardMonitor&) -> ShardMonitor& = delete;

  auto RecordStep(TimePoint began, TimePoint ended) -> void;
  auto RecordStart() -> void { ++this->starts; }
  auto RecordCompletion() -> void { ++this->completions; }
  /// A transaction that stored progress was answered after this time.
  auto RecordStoreTime(Duration took) -> void;
  auto RecordPoll(bool failed) -> void;
  /// The jobs are known as of this time: the feed was answered or a read began.
  auto RecordFeed(TimePoint answered, std::size_t rows) -> void;
  [[nodiscard]] auto FeedAt() const -> TimePoint { return this->feed_at; }

  /// Writes the line when it is due.
  auto Report(const ShardState& state, bool loaded, TimePoint now) -> void;

 private:
  const Logger& logger;
  MetricsRegistry& metrics;
  TimePoint reported_at;
  TimePoint last_step;
  int steps = 0;
  Duration step_time{0};
  Duration max_step_time{0};
  /// Longest time between the begins of two steps.
  Duration max_step_gap{0};
  /// The cost of planning up to the last report.
  PlanCost plan_cost;
  int starts = 0;
  int completions = 0;
  int stores = 0;
  Duration store_time{0};
  int polls = 0;
  int failed_polls = 0;
  /// As of when the shard's jobs are known.
  TimePoint feed_at;
  std::size_t feed_rows = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_MONITOR_H_
