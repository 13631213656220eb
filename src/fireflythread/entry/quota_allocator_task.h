#ifndef FIREFLYTHREAD_ENTRY_QUOTA_ALLOCATOR_TASK_H_
#define FIREFLYTHREAD_ENTRY_QUOTA_ALLOCATOR_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/entry/published_row.h"
#include "fireflythread/entry/range_loader.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/quota/quota_allocator.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Divides the organisations' caps among the shards, for as long as this entry
/// owns the duty shard. Idle while no organisation has a cap.
class QuotaAllocatorTask {
 public:
  /// `fence` is the fencing token of the duty shard. `on_fenced` is called when
  /// a newer owner exists; it must not destroy the task before it returns.
  QuotaAllocatorTask(TableStore& store,
                     const Logger& logger,
                     std::uint64_t fence,
                     std::function<void()> on_fenced);
  QuotaAllocatorTask(const QuotaAllocatorTask&) = delete;
  auto operator=(const QuotaAllocatorTask&) -> QuotaAllocatorTask& = delete;

  auto SetOrganisations(const std::vector<Organisation>& organisations) -> void;
  /// Sets the shards of the configuration. A shard that goes away keeps what
  /// its runs hold.
  auto SetShards(const std::set<ShardName>& shards) -> void;

 private:
  /// Begins to read the grants once there are caps.
  auto StartIfNeeded() -> void;
  auto ApplyLoadedGrants(const std::vector<Row>& rows, std::uint64_t revision)
      -> void;
  /// Reads the usage rows of shards whose rows are not read or being read.
  auto ReadUsages() -> void;
  auto Follow() -> void;
  auto ApplyUsageRow(const Row& row) -> void;
  /// Reads the usages again after changes were missed.
  auto ReadAgain() -> void;
  /// Plans soon, together with what changes meanwhile.
  auto PlanSoon() -> void;
  auto Plan() -> void;
  auto Store(const GrantChange& change) -> void;
  auto ApplyOutcome(const ShardName& shard, const TransactionOutcome& outcome)
      -> void;

  TableStore& store;
  const Logger& logger;
  std::uint64_t fence;
  std::function<void()> on_fenced;
  QuotaAllocator allocator;
  std::set<ShardName> shards;
  /// Versions of the usage rows that were applied.
  std::map<ShardName, std::uint64_t> usage_versions;
  std::map<ShardName, std::unique_ptr<PublishedRow>> grant_rows;
  std::map<ShardName, std::unique_ptr<RangeLoader>> usage_loaders;
  std::unique_ptr<RangeLoader> grant_loader;
  /// Tells from which revision to follow after changes were missed.
  std::unique_ptr<RangeLoader> revision_loader;
  bool grants_loaded = false;
  TimePoint planned_at;
  std::uint64_t revision = 0;
  OneShotTimer follow_retry;
  OneShotTimer plan_retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_QUOTA_ALLOCATOR_TASK_H_
