#include "fireflythread/entry/shard_quota_task.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/entry/duty_task.h"
#include "fireflythread/entry/quota_tables.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Minimum time between two writes of the usage, between two while an
/// organisation waits for a larger grant, and between two while a new grant has
/// not been acknowledged, for which others may wait.
constexpr milliseconds kUsagePeriod{300};
constexpr milliseconds kBlockedUsagePeriod{120};
constexpr milliseconds kAcknowledgementPeriod{40};

}  // namespace

ShardQuotaTask::ShardQuotaTask(TableStore& table_store,
                               const Logger& log,
                               ShardState& shard_state,
                               const ShardName& shard,
                               std::function<void()> granted)
    : store(table_store),
      logger(log),
      state(shard_state),
      on_grant(std::move(granted)),
      usage_row(table_store,
                log,
                std::string(kUsageTable),
                std::string(kUsageKey),
                shard.value),
      retry([this] { this->loaded ? this->Follow() : this->Read(); }) {}

auto ShardQuotaTask::SetOrganisations(
    const std::vector<Organisation>& organisations) -> void {
  SetCaps(this->state.quota, organisations);
  if (!this->state.quota.caps.empty() && !this->following) {
    this->following = true;
    this->Read();
  }
}

auto ShardQuotaTask::Read() -> void {
  const std::string& key = this->state.shard.value;
  this->store.ReadRange(
      {std::string(kGrantTable), std::string(kDutyShard), key, key + '\x01'},
      kStoreTimeout, this->alive.Guard([this](auto&& result) {
        const auto* page = std::get_if<RangePage>(&result);
        if (page == nullptr) {
          this->retry.Start(kStoreRetryDelay);
          return;
        }
        for (const Row& row : page->rows) {
          this->ApplyRow(row);
        }
        this->revision = page->revision;
        this->loaded = true;
        this->Follow();
      }));
}

auto ShardQuotaTask::Follow() -> void {
  if (this->state.quota.caps.empty()) {
    this->following = false;
    this->loaded = false;
    return;
  }
  this->store.Follow(std::string(kGrantTable), this->revision, kShardFollowWait,
                     kShardFollowWait + kFollowSlack,
                     this->alive.Guard([this](auto&& result) {
                       const auto* page = std::get_if<FeedPage>(&result);
                       if (page == nullptr || page->history_lost) {
                         this->loaded = page == nullptr;
                         this->retry.Start(kStoreRetryDelay);
                         return;
                       }
                       this->revision = page->revision;
                       for (const Row& row : page->changed) {
                         this->ApplyRow(row);
                       }
                       this->Follow();
                     }));
}

auto ShardQuotaTask::ApplyRow(const Row& row) -> void {
  if (row.key != this->state.shard.value) {
    return;
  }
  const auto grant = DecodeQuotaGrant(row.value);
  if (!grant) {
    this->logger.Warning("quota", "unreadable_grant", {{"shard", row.key}});
    return;
  }
  if (FollowGrant(this->state.quota, *grant)) {
    this->on_grant();
  }
}

auto ShardQuotaTask::Step(WallTime wall_now, TimePoint now) -> void {
  if (!this->following || this->usage_row.IsWriting()) {
    return;
  }
  const bool acknowledges =
      !this->has_published ||
      this->published.grant_number != this->state.quota.grant.number;
  const milliseconds blocked_period =
      this->state.quota.blocked.empty() ? kUsagePeriod : kBlockedUsagePeriod;
  if (now - this->published_at <
      (acknowledges ? kAcknowledgementPeriod : blocked_period)) {
    return;
  }
  QuotaUsage usage = MeasureQuotaUsage(this->state, wall_now, now);
  if (this->has_published && this->usage_row.IsKnown() &&
      usage == this->published) {
    return;
  }
  this->published_at = now;
  std::string value = EncodeQuotaUsage(usage);
  this->usage_row.Write(
      std::move(value), {OwnerCondition(this->state.shard, this->state.fence)},
      kStoreTimeout,
      [this, stored = std::move(usage)](const TransactionOutcome& outcome) {
        if (std::holds_alternative<Committed>(outcome)) {
          this->published = stored;
          this->has_published = true;
        }
      });
}

}  // namespace fireflythread
