#ifndef FIREFLYTHREAD_ENTRY_SHARD_QUOTA_TASK_H_
#define FIREFLYTHREAD_ENTRY_SHARD_QUOTA_TASK_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/entry/published_row.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Follows the grant of a shard and publishes what its runs hold of the
/// organisations' caps. Idle while no organisation has a cap.
class ShardQuotaTask {
 public:
  /// `on_grant` is called when the shard follows another grant.
  ShardQuotaTask(TableStore& store,
                 const Logger& logger,
                 ShardState& state,
                 const ShardName& shard,
                 std::function<void()> on_grant);
  ShardQuotaTask(const ShardQuotaTask&) = delete;
  auto operator=(const ShardQuotaTask&) -> ShardQuotaTask& = delete;

  /// Sets the organisations of the configuration.
  auto SetOrganisations(const std::vector<Organisation>& organisations) -> void;

  /// Publishes the usage if it has changed. All runs of the shard that may
  /// exist must be known.
  auto Step(WallTime wall_now, TimePoint now) -> void;

 private:
  auto Read() -> void;
  auto Follow() -> void;
  auto ApplyRow(const Row& row) -> void;

  TableStore& store;
  const Logger& logger;
  ShardState& state;
  std::function<void()> on_grant;
  PublishedRow usage_row;
  /// The usage that was stored last.
  QuotaUsage published;
  bool has_published = false;
  TimePoint published_at;
  std::uint64_t revision = 0;
  bool following = false;
  bool loaded = false;
  OneShotTimer retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_QUOTA_TASK_H_
