#ifndef FIREFLYTHREAD_ENTRY_PACE_TASK_H_
#define FIREFLYTHREAD_ENTRY_PACE_TASK_H_

#include <cstdint>
#include <functional>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/jobs/filler_paces.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Limits the speed of a shard's fillers while they slow down serving tasks,
/// and reports what is known of interference. Idle on a shard without fillers
/// and images.
class PaceTask {
 public:
  /// `on_reply` is called after a worker's answer was applied.
  PaceTask(WorkerClient& workers,
           const Logger& logger,
           MetricsRegistry& metrics,
           ShardState& state,
           std::function<void()> on_reply);
  PaceTask(const PaceTask&) = delete;
  auto operator=(const PaceTask&) -> PaceTask& = delete;

  /// Sends the orders that are due. All runs of the shard that may exist must
  /// be known.
  auto Step(TimePoint now) -> void;

 private:
  auto Send(const PaceCommand& pace) -> void;
  auto RecordChange(const PaceChange& change) -> void;
  auto Report(TimePoint now) -> void;

  WorkerClient& workers;
  const Logger& logger;
  MetricsRegistry& metrics;
  ShardState& state;
  std::function<void()> on_reply;
  TimePoint reported_at;
  std::int64_t reported_apart = 0;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_PACE_TASK_H_
