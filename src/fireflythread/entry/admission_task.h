#ifndef FIREFLYTHREAD_ENTRY_ADMISSION_TASK_H_
#define FIREFLYTHREAD_ENTRY_ADMISSION_TASK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/jobs/admission_decision.h"
#include "fireflythread/jobs/backlog_codec.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Follows the backlogs that the owners of shards publish and decides which
/// submissions are refused. Idle, and refuses nothing, where the configuration
/// has no organisations.
class AdmissionTask {
 public:
  AdmissionTask(TableStore& store,
                const Logger& logger,
                MetricsRegistry& metrics);
  AdmissionTask(const AdmissionTask&) = delete;
  auto operator=(const AdmissionTask&) -> AdmissionTask& = delete;

  /// Starts or stops to follow the backlogs.
  auto SetConfiguration(const Configuration& configuration) -> void;

  /// Returns the refusal of a job that the shard would get; no value if it is
  /// admitted.
  [[nodiscard]] auto Decide(const ShardName& shard,
                            const JobRequest& job,
                            TimePoint now) const
      -> std::optional<AdmissionRefusal>;

  /// Records that a submission was refused.
  auto RecordRefusal(const ShardName& shard,
                     const JobRequest& job,
                     const AdmissionRefusal& refusal,
                     TimePoint now) -> void;

 private:
  struct Estimate {
    BacklogRow row;
    std::uint64_t version = 0;
    /// The row is not older than this.
    TimePoint as_of;
  };

  auto Read() -> void;
  auto Follow() -> void;
  auto ApplyPage(const FeedPage& page, TimePoint now) -> void;
  auto ApplyRow(const Row& row) -> void;

  TableStore& store;
  const Logger& logger;
  MetricsRegistry& metrics;
  bool active = false;
  bool loaded = false;
  std::uint64_t revision = 0;
  /// All changes until then have been received.
  TimePoint complete_until;
  std::map<ShardName, Estimate> estimates;
  /// Refusals by cause since the last log line.
  std::map<RefusalCause, int> refused;
  TimePoint refused_logged_at;
  OneShotTimer retry;
  /// Replaced when the backlogs are not followed any more, so that the answer
  /// to a call in flight has no effect.
  AliveToken followed;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_ADMISSION_TASK_H_
