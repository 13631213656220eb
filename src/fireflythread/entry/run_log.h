#ifndef FIREFLYTHREAD_ENTRY_RUN_LOG_H_
#define FIREFLYTHREAD_ENTRY_RUN_LOG_H_

#include <chrono>
#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Logs the events of a shard's runs and counts starts and completions in the
/// metrics.
class RunLog {
 public:
  RunLog(const Logger& logger, MetricsRegistry& metrics);
  RunLog(const RunLog&) = delete;
  auto operator=(const RunLog&) -> RunLog& = delete;

  /// Logs and counts a worker's reply to a start.
  auto RecordStart(const StartCommand& start, const OrderReply& reply) -> void;
  /// Logs a worker's reply to a stop.
  auto RecordStop(const StopCommand& stop, const OrderReply& reply) -> void;
  /// Logs and counts the completion of a run.
  auto RecordCompletion(const WorkerId& worker, const RunCompletion& ended)
      -> void;
  /// Logs a poll that returned no report.
  auto RecordFailedPoll(const PollCommand& poll, const OrderReply& reply)
      -> void;
  /// Logs that a worker with runs of the shard has stopped answering, and the
  /// time for which its runs are held at most.
  auto RecordUnresponsive(const ShardName& shard,
                          const ShardWorker& worker,
                          std::chrono::milliseconds held) -> void;
  /// Logs that the runs of a lost worker are released.
  auto RecordReleased(const ShardName& shard, const ReleasedRuns& released)
      -> void;
  /// Logs and counts a run that is given up, with the evidence for it.
  auto RecordGivenUp(const ShardName& shard, const GivenUpRun& given_up)
      -> void;
  /// Logs a job whose final state is stored at `revision`.
  auto RecordFinished(const JobId& job, JobState state, std::uint64_t revision)
      -> void;

 private:
  const Logger& logger;
  MetricsRegistry& metrics;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_RUN_LOG_H_
