#ifndef FIREFLYTHREAD_ENTRY_RUN_LOG_H_
#define FIREFLYTHREAD_ENTRY_RUN_LOG_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Writes the log lines of a shard's runs and counts them in the metrics.
class RunLog {
 public:
  RunLog(const Logger& logger, MetricsRegistry& metrics);
  RunLog(const RunLog&) = delete;
  auto operator=(const RunLog&) -> RunLog& = delete;

  auto RecordStart(const StartCommand& start, const OrderReply& reply) -> void;
  auto RecordStop(const StopCommand& stop, const OrderReply& reply) -> void;
  auto RecordCompletion(const WorkerId& worker, const RunCompletion& ended)
      -> void;
  auto RecordFailedPoll(const PollCommand& poll, const OrderReply& reply)
      -> void;
  /// A job's final state is stored at this revision.
  auto RecordFinished(const JobId& job, JobState state, std::uint64_t revision)
      -> void;

 private:
  const Logger& logger;
  MetricsRegistry& metrics;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_RUN_LOG_H_
