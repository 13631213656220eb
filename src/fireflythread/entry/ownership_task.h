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

/// Renews this entry's row, monitors the rows of the other entries, claims
/// shards without an owner and hands over shards that another entry should own.
class OwnershipTask {
 public:
  using UnresponsiveWorkerMap = std::map<WorkerId, std::chrono::milliseconds>;

  struct Events {
    /// Called when this entry has become the owner of a shard, with the fencing
    /// token.
    std::function<void(const ShardName&, std::uint64_t, const Handover&)>
        gained;
    /// Called when this entry is no longer the owner of a shard.
    std::function<void(const ShardName&)> lost;
    /// Called when another entry should own the shard, so that the shard is
    /// released soon.
    std::function<void(const ShardName&)> hand_over;
    /// Called when the former owner of an owned shard is known to give no more
    /// leases, with the workers that it names as unresponsive.
    std::function<void(const ShardName&, const UnresponsiveWorkerMap&)>
        former_owner_ended = {};
  };

  OwnershipTask(TableStore& store,
                const Logger& logger,
                EntryId self,
                std::uint64_t incarnation,
                EntryCapacity capacity,
                Events events);
  OwnershipTask(const OwnershipTask&) = delete;
  auto operator=(const OwnershipTask&) -> OwnershipTask& = delete;

  /// Starts to renew this entry's row and to follow the shard table.
  auto Start() -> void;

  /// Sets the address at which this entry listens for peers.
  auto SetPeer(std::string address) -> void {
    this->state.peer = std::move(address);
  }

  /// Sets the shards that must have an owner.
  auto SetWanted(std::set<ShardName> shards) -> void;

  /// Announces that this entry leaves. It claims no shards from then on.
  auto Leave() -> void;

  /// Releases a shard, so that another entry can claim it at once. Retries
  /// until the store has committed or refused the release.
  /// `unresponsive_workers` are the unresponsive workers, with the time until
  /// their leases have certainly expired.
  auto Release(const ShardName& shard,
               std::uint64_t token,
               UnresponsiveWorkerMap unresponsive_workers) -> void;

  /// Announces in this entry's row that the ownership of a shard with the
  /// fencing token `token` has ended, for an owner that took the shard over
  /// without a release. `unresponsive_workers` is as for Release().
  auto AnnounceEnd(const ShardName& shard,
                   std::uint64_t token,
                   UnresponsiveWorkerMap unresponsive_workers) -> void;

  /// Returns when the last renewal that the store confirmed was sent.
  [[nodiscard]] auto ConfirmedAt() const -> TimePoint {
    return this->confirmed_at;
  }

  /// Returns the known state of all entries and shards.
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
  /// Compares the owner of a shard with the last reported one, and reports a
  /// gain or loss.
  auto UpdateOwned(const ShardName& shard) -> void;
  auto Claim() -> void;
  auto ApplyClaimOutcome(const ShardName& shard,
                         const TransactionOutcome& outcome) -> void;
  auto ReportEndedOwners() -> void;
  auto PlanHandover() -> void;
  auto SendReleases() -> void;
  auto SendRelease(const ShardName& shard, PendingRelease& release) -> void;
  auto ApplyReleaseOutcome(const ShardName& shard,
                           const TransactionOutcome& outcome) -> void;
  /// Logs a planned handover whose shard was released, and ends it.
  auto LogHandover(const ShardName& shard) -> void;

  TableStore& store;
  const Logger& logger;
  Events events;
  OwnershipState state;
  /// Renewals so far, answered or not.
  int renewals = 0;
  std::set<ShardName> claiming;
  /// The predecessor's handover that came with the last claim of each shard.
  std::map<ShardName, Handover> handovers;
  std::set<ShardName> owned;
  /// Released shards whose rows may still name this entry as the owner.
  std::map<ShardName, PendingRelease> releases;
  /// The handover in progress.
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
