#ifndef FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_
#define FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/ownership/handover_plan.h"
#include "fireflythread/ownership/ownership.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Keeps this entry's row fresh, watches those of the others, becomes the owner
/// of shards that have none and hands over those that fit another entry better.
class OwnershipTask {
 public:
  using UnresponsiveWorkerMap = std::map<WorkerId, std::chrono::milliseconds>;

  struct Events {
    /// This entry owns a shard now; the number is its fencing token.
    std::function<void(const ServiceName&, std::uint64_t, const Handover&)>
        gained;
    /// Another entry owns the shard, or nobody does.
    std::function<void(const ServiceName&)> lost;
    /// Another entry should own the shard: it is to be released soon.
    std::function<void(const ServiceName&)> hand_over;
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

  /// Sets the address at which this entry listens for peers.
  auto SetPeer(std::string address) -> void {
    this->state.peer = std::move(address);
  }

  /// Sets the shards that must have an owner.
  auto SetWanted(std::set<ServiceName> shards) -> void;

  /// Announces that this entry leaves; it claims nothing any more.
  auto Leave() -> void;

  /// Gives up a shard, so that another entry can take it at once. Tried again
  /// until the store has decided.
  auto Release(const ServiceName& shard,
               std::uint64_t token,
               UnresponsiveWorkerMap unresponsive_workers) -> void;

  /// When the last renewal that the store confirmed was sent.
  [[nodiscard]] auto ConfirmedAt() const -> TimePoint {
    return this->confirmed_at;
  }

  /// What is known of all entries and shards.
  [[nodiscard]] auto State() const -> const OwnershipState& {
    return this->state;
  }

 private:
  struct PendingRelease {
    std::uint64_t token = 0;
    UnresponsiveWorkerMap unresponsive_workers;
    bool sent = false;
  };

  auto Renew() -> void;
  auto ReadEntries() -> void;
  auto ReadShards() -> void;
  auto FollowShards() -> void;
  auto ApplyShardRows(const std::vector<Row>& rows) -> void;
  /// Reports a shard that was gained or lost by the last change of its row.
  auto UpdateOwned(const ServiceName& shard) -> void;
  auto Claim() -> void;
  auto ApplyClaimOutcome(const ServiceName& shard,
                         const TransactionOutcome& outcome) -> void;
  auto PlanHandover() -> void;
  auto SendReleases() -> void;
  auto SendRelease(const ServiceName& shard, PendingRelease& release) -> void;
  auto ApplyReleaseOutcome(const ServiceName& shard,
                           const TransactionOutcome& outcome) -> void;
  /// Writes the line of a planned handover whose shard is released.
  auto LogHandover(const ServiceName& shard) -> void;

  TableStore& store;
  const Logger& logger;
  Events events;
  OwnershipState state;
  std::set<ServiceName> claiming;
  /// Of the last claim of each shard.
  std::map<ServiceName, Handover> handovers;
  std::set<ServiceName> owned;
  /// Shards given up here whose rows may still name this entry.
  std::map<ServiceName, PendingRelease> releases;
  /// The handover that goes on.
  std::optional<HandoverPlan> handover_plan;
  std::uint64_t shard_revision = 0;
  TimePoint confirmed_at;
  bool renewing = false;
  bool reading_entries = false;
  OneShotTimer retry_shards;
  OneShotTimer retry_releases;
  PeriodicTimer timer;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_OWNERSHIP_TASK_H_
