#include "fireflythread/entry/ownership_task.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/ended_ownerships.h"
#include "fireflythread/platform/read_all.h"

namespace fireflythread {

OwnershipTask::OwnershipTask(TableStore& table_store,
                             const Logger& log,
                             EntryId self,
                             std::uint64_t incarnation,
                             EntryCapacity capacity,
                             Events on_events)
    : store(table_store),
      logger(log),
      events(std::move(on_events)),
      retry_shards([this] { this->ReadShards(); }),
      retry_releases([this] { this->SendReleases(); }),
      timer(kEntryRenewal, [this] { this->Renew(); }) {
  this->state.self = std::move(self);
  this->state.incarnation = incarnation;
  this->state.capacity = capacity;
}

auto OwnershipTask::Start() -> void {
  this->Renew();
  this->ReadShards();
}

auto OwnershipTask::SetWanted(std::set<ShardName> shards) -> void {
  this->state.wanted = std::move(shards);
  this->Claim();
}

auto OwnershipTask::Leave() -> void {
  this->state.stopping = true;
  this->renewing = false;
  this->Renew();
}

auto OwnershipTask::Renew() -> void {
  if (this->renewing) {
    return;
  }
  this->renewing = true;
  const TimePoint sent_at = ReadBootClock();
  RemoveOldEndedOwnerships(this->state, sent_at);
  this->store.Commit(
      MakeRenewal(this->state, sent_at), kStoreTimeout,
      this->alive.Guard([this, sent_at](const TransactionOutcome& outcome) {
        this->renewing = false;
        if (std::holds_alternative<Committed>(outcome)) {
          this->confirmed_at = sent_at;
        }
        if (++this->renewals % kSlowReadRenewals == 0 ||
            ReadsEachRenewal(this->state, ReadBootClock())) {
          this->ReadEntries();
        }
      }));
}

auto OwnershipTask::ReadEntries() -> void {
  if (this->reading_entries) {
    return;
  }
  this->reading_entries = true;
  ReadAll(this->store, {std::string(kEntryTable)}, kStoreTimeout,
          this->alive.Guard([this](auto&& result) {
            this->reading_entries = false;
            if (const auto* page = std::get_if<RangePage>(&result)) {
              ApplyEntryRows(this->state, page->rows, ReadBootClock());
              this->ReportEndedOwners();
              this->Claim();
              this->PlanHandover();
            }
          }));
}

auto OwnershipTask::ReadShards() -> void {
  ReadAll(this->store, {std::string(kShardTable)}, kStoreTimeout,
          this->alive.Guard([this](auto&& result) {
            const auto* page = std::get_if<RangePage>(&result);
            if (page == nullptr) {
              this->retry_shards.Start(kStoreRetryDelay);
              return;
            }
            this->shard_revision = page->revision;
            this->state.shards_read = true;
            this->ApplyShardRows(page->rows);
            this->FollowShards();
          }));
}

auto OwnershipTask::FollowShards() -> void {
  this->store.Follow(std::string(kShardTable), this->shard_revision,
                     kShardFollowWait, kShardFollowWait + kFollowSlack,
                     this->alive.Guard([this](auto&& result) {
                       const auto* page = std::get_if<FeedPage>(&result);
                       if (page == nullptr || page->history_lost) {
                         this->retry_shards.Start(kStoreRetryDelay);
                         return;
                       }
                       this->shard_revision = page->revision;
                       this->ApplyShardRows(page->changed);
                       this->FollowShards();
                     }));
}

auto OwnershipTask::ApplyShardRows(const std::vector<Row>& rows) -> void {
  for (const Row& row : rows) {
    ApplyShardRow(this->state, row, ReadBootClock());
    this->UpdateOwned(ShardName(row.key));
  }
  this->Claim();
  // The claimant of a released shard may have read the entries' rows a while
  // ago.
  const bool released =
      std::any_of(rows.begin(), rows.end(), [this](const Row& row) -> bool {
        const auto shard = this->state.shards.find(ShardName(row.key));
        return shard != this->state.shards.end() && shard->second.owner.empty();
      });
  if (released &&
      ReadBootClock() - this->state.entries_read_at > kEntryRenewal) {
    this->ReadEntries();
  }
}

auto OwnershipTask::Claim() -> void {
  // By old rows, every entry would seem to have ended.
  if (ReadBootClock() - this->state.entries_read_at >= kEntryTimeout) {
    return;
  }
  for (ShardClaim& claim : NextClaims(this->state, ReadBootClock())) {
    const ShardName shard = claim.shard;
    if (!this->claiming.insert(shard).second) {
      continue;
    }
    this->handovers[shard] = claim.handover;
    this->store.Commit(
        std::move(claim.transaction), kStoreTimeout,
        this->alive.Guard([this, shard](const TransactionOutcome& outcome) {
          this->claiming.erase(shard);
          this->ApplyClaimOutcome(shard, outcome);
        }));
  }
}

auto OwnershipTask::UpdateOwned(const ShardName& shard) -> void {
  const bool owns =
      OwnsShard(this->state, shard) && !this->releases.contains(shard);
  if (owns && this->owned.insert(shard).second) {
    // The version of the shard's row is the revision of the claim, and so the
    // fencing token.
    const std::uint64_t fence = this->state.shards.at(shard).version;
    this->logger.Info("ownership", "shard_gained",
                      {{"shard", shard}, {"fence", fence}});
    this->events.gained(shard, fence, this->handovers[shard]);
  }
  if (!owns && this->owned.erase(shard) > 0) {
    this->logger.Info("ownership", "shard_lost", {{"shard", shard}});
    if (this->handover_plan && this->handover_plan->shard == shard) {
      this->handover_plan.reset();
    }
    this->events.lost(shard);
  }
}

auto OwnershipTask::ApplyClaimOutcome(const ShardName& shard,
                                      const TransactionOutcome& outcome)
    -> void {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    ShardOwner& known = this->state.shards[shard];
    if (known.version < committed->revision) {
      known = {this->state.self, this->state.incarnation, committed->revision};
      known.changed_at = ReadBootClock();
    }
    this->UpdateOwned(shard);
    return;
  }
  // If the answer was lost, the feed of the shard table tells the outcome.
  this->logger.Info("ownership", "claim_failed",
                    {{"shard", shard},
                     {"conflict", std::holds_alternative<Conflict>(outcome)}});
}

auto OwnershipTask::ReportEndedOwners() -> void {
  for (const ShardName& shard : this->owned) {
    FormerOwner& former = this->handovers[shard].former;
    if (const auto workers = FindEndedOwnership(this->state, shard, former)) {
      former = {};
      this->events.former_owner_ended(shard, *workers);
    }
  }
}

auto OwnershipTask::AnnounceEnd(const ShardName& shard,
                                std::uint64_t token,
                                UnresponsiveWorkerMap unresponsive_workers)
    -> void {
  this->state.ended[shard] = {token, ReadBootClock(),
                              std::move(unresponsive_workers)};
  this->Renew();
}

auto OwnershipTask::PlanHandover() -> void {
  if (this->handover_plan || !this->releases.empty() ||
      !this->claiming.empty()) {
    return;
  }
  this->handover_plan = NextHandover(this->state, ReadBootClock());
  if (this->handover_plan) {
    const ShardName shard = this->handover_plan->shard;
    this->events.hand_over(shard);
  }
}

auto OwnershipTask::Release(const ShardName& shard,
                            std::uint64_t token,
                            UnresponsiveWorkerMap unresponsive_workers)
    -> void {
  this->owned.erase(shard);
  this->releases[shard] = {token, std::move(unresponsive_workers)};
  this->SendReleases();
}

auto OwnershipTask::SendReleases() -> void {
  for (auto& [shard, release] : this->releases) {
    if (!release.sent) {
      this->SendRelease(shard, release);
    }
  }
}

auto OwnershipTask::SendRelease(const ShardName& shard, PendingRelease& release)
    -> void {
  release.sent = true;
  this->store.Commit(
      MakeRelease(shard, release.token, release.unresponsive_workers),
      kStoreTimeout,
      this->alive.Guard([this, shard](const TransactionOutcome& outcome) {
        this->ApplyReleaseOutcome(shard, outcome);
      }));
}

auto OwnershipTask::ApplyReleaseOutcome(const ShardName& shard,
                                        const TransactionOutcome& outcome)
    -> void {
  const auto* committed = std::get_if<Committed>(&outcome);
  this->logger.Info("ownership", "shard_released",
                    {{"shard", shard}, {"confirmed", committed != nullptr}});
  // A conflict is final too: an earlier attempt took effect, or another entry
  // owns the shard.
  if (committed == nullptr && !std::holds_alternative<Conflict>(outcome)) {
    this->releases.at(shard).sent = false;
    this->retry_releases.Start(kStoreRetryDelay);
    return;
  }
  this->releases.erase(shard);
  ShardOwner& known = this->state.shards[shard];
  if (committed != nullptr && known.version < committed->revision) {
    known = {EntryId(), 0, committed->revision};
    known.changed_at = ReadBootClock();
  }
  this->LogHandover(shard);
  this->UpdateOwned(shard);
}

auto OwnershipTask::LogHandover(const ShardName& shard) -> void {
  if (!this->handover_plan || this->handover_plan->shard != shard) {
    return;
  }
  const HandoverPlan& plan = *this->handover_plan;
  this->logger.Info("ownership", "shard_handed_over",
                    {{"shard", shard},
                     {"preferred", plan.preferred},
                     {"own_shards", plan.own_load.shards},
                     {"own_capacity", plan.own_load.capacity},
                     {"preferred_shards", plan.preferred_load.shards},
                     {"preferred_capacity", plan.preferred_load.capacity}});
  this->handover_plan.reset();
}

}  // namespace fireflythread
