#include "fireflythread/entry/quota_allocator_task.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/duty_task.h"
#include "fireflythread/entry/quota_tables.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

/// Pause after a page of usages, so that those of several shards share a page.
constexpr std::chrono::milliseconds kPagePause{10};

/// Minimum time between two plans. While a cap is scarce each usage shifts the
/// parts, and the grants share a part of the store with the orders to VMs.
constexpr std::chrono::milliseconds kPlanPeriod{100};

}  // namespace

QuotaAllocatorTask::QuotaAllocatorTask(TableStore& table_store,
                                       const Logger& log,
                                       std::uint64_t token,
                                       std::function<void()> fenced)
    : store(table_store),
      logger(log),
      fence(token),
      on_fenced(std::move(fenced)),
      follow_retry([this] { this->Follow(); }),
      plan_retry([this] { this->Plan(); }) {}

auto QuotaAllocatorTask::SetOrganisations(
    const std::vector<Organisation>& organisations) -> void {
  SetCaps(this->allocator, organisations);
  this->StartIfNeeded();
  this->PlanSoon();
}

auto QuotaAllocatorTask::SetShards(const std::set<ShardName>& names) -> void {
  this->shards.insert(names.begin(), names.end());
  fireflythread::SetShards(this->allocator, names);
  if (this->grants_loaded) {
    this->ReadUsages();
  }
}

auto QuotaAllocatorTask::StartIfNeeded() -> void {
  if (this->allocator.caps.empty() || this->grant_loader) {
    return;
  }
  this->grant_loader = std::make_unique<RangeLoader>(
      this->store,
      RangeRequest{std::string(kGrantTable), std::string(kDutyShard)},
      [this](const std::vector<Row>& rows, std::uint64_t first_revision) {
        this->ApplyLoadedGrants(rows, first_revision);
      });
  this->grant_loader->Start();
}

auto QuotaAllocatorTask::ApplyLoadedGrants(const std::vector<Row>& rows,
                                           std::uint64_t first_revision)
    -> void {
  for (const Row& row : rows) {
    if (const auto grant = DecodeQuotaGrant(row.value)) {
      ApplyStoredGrant(this->allocator, ShardName(row.key), *grant);
      // Of a shard that is not configured any more, the runs still count.
      this->shards.insert(ShardName(row.key));
    } else {
      this->logger.Warning("quota", "unreadable_grant", {{"shard", row.key}});
    }
  }
  this->revision = first_revision;
  this->grants_loaded = true;
  this->ReadUsages();
  this->Follow();
}

auto QuotaAllocatorTask::ReadUsages() -> void {
  for (const ShardName& shard : this->shards) {
    auto& loader = this->usage_loaders[shard];
    if (loader) {
      continue;
    }
    loader = std::make_unique<RangeLoader>(
        this->store, RangeRequest{std::string(kUsageTable), shard.value},
        [this](const std::vector<Row>& rows, std::uint64_t) {
          for (const Row& row : rows) {
            this->ApplyUsageRow(row);
          }
          this->PlanSoon();
        });
    loader->Start();
  }
}

auto QuotaAllocatorTask::Follow() -> void {
  this->store.Follow(std::string(kUsageTable), this->revision, kFollowWait,
                     kFollowWait + kFollowSlack,
                     this->alive.Guard([this](auto&& result) {
                       const auto* page = std::get_if<FeedPage>(&result);
                       if (page == nullptr) {
                         this->follow_retry.Start(kStoreRetryDelay);
                         return;
                       }
                       if (page->history_lost) {
                         this->ReadAgain();
                         return;
                       }
                       this->revision = page->revision;
                       for (const Row& row : page->changed) {
                         this->ApplyUsageRow(row);
                       }
                       if (!page->changed.empty()) {
                         this->PlanSoon();
                       }
                       this->follow_retry.Start(kPagePause);
                     }));
}

auto QuotaAllocatorTask::ApplyUsageRow(const Row& row) -> void {
  // Without a part, a row of the feed would belong to no shard.
  const ShardName shard(row.part);
  std::uint64_t& version = this->usage_versions[shard];
  const auto usage = DecodeQuotaUsage(row.value);
  if (row.part.empty() || row.version < version || !usage) {
    return;
  }
  version = row.version;
  ApplyUsage(this->allocator, shard, *usage);
}

auto QuotaAllocatorTask::ReadAgain() -> void {
  // No row has an empty part, so this reads the present revision alone.
  this->revision_loader = std::make_unique<RangeLoader>(
      this->store, RangeRequest{std::string(kUsageTable)},
      [this](const std::vector<Row>&, std::uint64_t present) {
        this->revision = present;
        this->usage_loaders.clear();
        this->ReadUsages();
        this->follow_retry.Start(kPagePause);
      });
  this->revision_loader->Start();
}

auto QuotaAllocatorTask::PlanSoon() -> void {
  const Duration waited = ReadBootClock() - this->planned_at;
  this->plan_retry.Start(std::max(
      kPagePause,
      std::chrono::ceil<std::chrono::milliseconds>(kPlanPeriod - waited)));
}

auto QuotaAllocatorTask::Plan() -> void {
  if (!this->grants_loaded) {
    return;
  }
  this->planned_at = ReadBootClock();
  const std::vector<GrantChange> changes = PlanGrants(this->allocator);
  for (const GrantChange& change : changes) {
    this->Store(change);
  }
  if (!changes.empty()) {
    this->logger.Info("quota", "grants_planned",
                      {{"fence", this->fence},
                       {"shards", changes.size()},
                       {"organisations", this->allocator.caps.size()}});
  }
}

auto QuotaAllocatorTask::Store(const GrantChange& change) -> void {
  auto& row = this->grant_rows[change.shard];
  if (!row) {
    row = std::make_unique<PublishedRow>(
        this->store, this->logger, std::string(kGrantTable), change.shard.value,
        std::string(kDutyShard));
  }
  const ShardName duties{std::string(kDutyShard)};
  row->Write(EncodeQuotaGrant(change.grant),
             {OwnerCondition(duties, this->fence)}, kStoreTimeout,
             this->alive.Guard([this, shard = change.shard](
                                   const TransactionOutcome& outcome) {
               this->ApplyOutcome(shard, outcome);
             }));
}

auto QuotaAllocatorTask::ApplyOutcome(const ShardName& shard,
                                      const TransactionOutcome& outcome)
    -> void {
  const auto* conflict = std::get_if<Conflict>(&outcome);
  if (conflict != nullptr && HasNewerFence(*conflict, this->fence)) {
    this->on_fenced();
    return;
  }
  const bool stored = std::holds_alternative<Committed>(outcome);
  ApplyGrantResult(this->allocator, shard, stored);
  if (stored) {
    this->PlanSoon();
  } else {
    this->plan_retry.Start(kStoreRetryDelay);
  }
}

}  // namespace fireflythread
