#ifndef FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_
#define FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/ownership/ownership.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Keeps this entry's row fresh, watches those of the others, and becomes the
/// owner of shards that have none.
class OwnershipTask {
 public:
  using SilentWorkerMap = std::map<WorkerId, std::chrono::milliseconds>;

  struct Events {
    /// This entry owns a shard now; the number is its fencing token.
    std::function<void(const ServiceName&, std::uint64_t, const Handover&)>
        gained;
    /// Another entry owns the shard, or nobody does.
    std::function<void(const ServiceName&)> lost;
  };

  OwnershipTask(TableStore& store,
                const Logger& logger,
                EntryId self,
                std::uint64_t incarnation,
                EntryCapacity capacity,
                Events events);
  OwnershipTask(const OwnershipTask&) = delete;
  auto operator=(const OwnershipTask&) -> OwnershipTask& = delete;

  auto Start() -> void;

  /// Sets the shards that must have an owner.
  auto SetWanted(std::set<ServiceName> shards) -> void;

  /// Announces that this entry leaves; it claims nothing any more.
  auto Leave() -> void;

  /// Gives up a shard, so that another entry can take it at once.
  auto Release(const ServiceName& shard,
               std::uint64_t token,
               const SilentWorkerMap& silent_workers,
               std::function<void()> done) -> void;

  /// When the last renewal that the store confirmed was sent.
  [[nodiscard]] auto ConfirmedAt() const -> TimePoint {
    return this->confirmed_at;
  }

 private:
  auto Renew() -> void;
  auto ReadEntries() -> void;
  auto ReadShards() -> void;
  auto FollowShards() -> void;
  auto TakeShards(const std::vector<Row>& rows) -> void;
  /// Reports a shard that was gained or lost by the last change of its row.
  auto CompareOwned(const ServiceName& shard) -> void;
  auto Claim() -> void;
  auto TakeClaim(const ServiceName& shard, const TransactionOutcome& outcome)
      -> void;

  TableStore& store;
  const Logger& logger;
  Events events;
  OwnershipState state;
  std::set<ServiceName> claiming;
  /// Of the last claim of each shard.
  std::map<ServiceName, Handover> handovers;
  std::set<ServiceName> owned;
  std::uint64_t shard_revision = 0;
  TimePoint confirmed_at;
  bool renewing = false;
  bool reading_entries = false;
  OneShotTimer retry_shards;
  PeriodicTimer timer;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_
