#include "fireflythread/entry/drain_table.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/entry/duty_task.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/fence.h"
#include "fireflythread/platform/read_all.h"

namespace fireflythread {
namespace {

constexpr std::string_view kWanted = "wanted";
constexpr std::string_view kDrained = "vacated";

/// Pause after a page with changes, so that the changes of that time share one
/// page: during a load peak, workers are added and drained all the time.
constexpr std::chrono::milliseconds kPagePause{60};

/// Upper limit of the entries in one transaction, below the store's limit.
constexpr std::size_t kMaxChanges = 90;

}  // namespace

DrainTable::DrainTable(TableStore& table_store, std::function<void()> changed)
    : store(table_store),
      on_change(std::move(changed)),
      retry([this] { this->loaded ? this->Follow() : this->Read(); }) {}

auto DrainTable::SetNeeded(bool is_needed) -> void {
  if (is_needed == this->needed) {
    return;
  }
  this->needed = is_needed;
  if (is_needed) {
    this->Read();
    return;
  }
  this->followed = AliveToken();
  this->retry.Cancel();
  this->entries.clear();
  this->loaded = false;
}

auto DrainTable::Wanted() const -> std::set<WorkerId> {
  std::set<WorkerId> workers;
  for (const auto& [id, entry] : this->entries) {
    workers.insert(id);
  }
  return workers;
}

auto DrainTable::Drained() const -> std::set<WorkerId> {
  std::set<WorkerId> workers;
  for (const auto& [id, entry] : this->entries) {
    if (entry.drained) {
      workers.insert(id);
    }
  }
  return workers;
}

auto DrainTable::ApplyRow(const Row& row) -> void {
  Entry& entry = this->entries[WorkerId(row.key)];
  // A page that was read before this entry's own write may arrive after it.
  if (entry.version <= row.version) {
    const bool may_be_removed =
        entry.may_be_removed && entry.version == row.version;
    entry = {row.version, row.value == kDrained, may_be_removed};
  }
}

auto DrainTable::ApplyRemoval(const WorkerId& worker, std::uint64_t version)
    -> void {
  const auto entry = this->entries.find(worker);
  if (entry != this->entries.end() && entry->second.version < version) {
    this->entries.erase(entry);
  }
}

auto DrainTable::ApplyWrites(const std::vector<Write>& writes,
                             std::uint64_t version) -> void {
  if (version <= this->revision) {
    // The feed has shown the rows, and perhaps later changes of them.
    return;
  }
  for (const Write& write : writes) {
    if (write.value) {
      this->ApplyRow({std::string(kDrainTable), write.key, version,
                      *write.value, std::string(kDutyShard)});
    } else {
      this->ApplyRemoval(WorkerId(write.key), version);
    }
  }
}

auto DrainTable::Read() -> void {
  ReadAll(this->store, {std::string(kDrainTable), std::string(kDutyShard)},
          kStoreTimeout, this->followed.Guard([this](auto&& result) {
            const auto* page = std::get_if<RangePage>(&result);
            if (page == nullptr) {
              this->retry.Start(kStoreRetryDelay);
              return;
            }
            const auto former = std::exchange(this->entries, {});
            for (const Row& row : page->rows) {
              const auto known = former.find(WorkerId(row.key));
              if (known != former.end()) {
                this->entries.insert(*known);
              }
              this->ApplyRow(row);
            }
            this->revision = page->revision;
            this->loaded = true;
            this->on_change();
            this->Follow();
          }));
}

auto DrainTable::Follow() -> void {
  this->store.Follow(
      std::string(kDrainTable), this->revision, kFollowWait,
      kFollowWait + kFollowSlack, this->followed.Guard([this](auto&& result) {
        const auto* page = std::get_if<FeedPage>(&result);
        if (page == nullptr || page->history_lost) {
          this->loaded = page == nullptr && this->loaded;
          this->retry.Start(kStoreRetryDelay);
          return;
        }
        this->revision = page->revision;
        for (const Row& row : page->changed) {
          this->ApplyRow(row);
        }
        for (const Row& row : page->deleted) {
          this->ApplyRemoval(WorkerId(row.key), row.version);
        }
        const bool changed = !page->changed.empty() || !page->deleted.empty();
        if (changed) {
          this->on_change();
        }
        this->retry.Start(changed ? kPagePause : std::chrono::milliseconds(0));
      }));
}

auto DrainTable::MarkDrained(const std::vector<WorkerId>& workers) -> void {
  Transaction transaction;
  for (const WorkerId& worker : workers) {
    const auto entry = this->entries.find(worker);
    if (entry == this->entries.end() || entry->second.drained ||
        transaction.writes.size() >= kMaxChanges / 2) {
      continue;
    }
    transaction.conditions.push_back({std::string(kDrainTable), worker.value,
                                      entry->second.version,
                                      std::string(kDutyShard)});
    transaction.writes.push_back({std::string(kDrainTable), worker.value,
                                  std::string(kDrained),
                                  std::string(kDutyShard)});
  }
  if (transaction.writes.empty() || this->marking) {
    return;
  }
  this->marking = true;
  this->store.Commit(std::move(transaction), kStoreTimeout,
                     this->alive.Guard([this](const TransactionOutcome&) {
                       // The feed shows whether the rows changed.
                       this->marking = false;
                     }));
}

auto DrainTable::SetWanted(const std::set<WorkerId>& workers,
                           const ShardName& shard,
                           std::uint64_t fence) -> void {
  if (!this->loaded || this->writing) {
    return;
  }
  Transaction transaction;
  this->AddAdditions(workers, transaction);
  // A conflict of a removal must not delay what is added.
  if (transaction.writes.empty()) {
    this->AddRemovals(workers, transaction);
  }
  if (transaction.writes.empty()) {
    return;
  }
  transaction.conditions.push_back(OwnerCondition(shard, fence));
  // The rows of a load peak take several transactions. The next one follows at
  // once, without a wait for the feed to show this one.
  auto apply = this->followed.Guard(
      [this, workers, shard, fence, written = transaction.writes](
          const TransactionOutcome& outcome) -> void {
        if (const auto* committed = std::get_if<Committed>(&outcome)) {
          this->ApplyWrites(written, committed->revision);
          this->SetWanted(workers, shard, fence);
        } else if (std::holds_alternative<CommitUnknown>(outcome)) {
          this->MarkMayBeRemoved(written);
        }
        // Otherwise the feed shows the rows as they are.
      });
  this->writing = true;
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this, next = std::move(apply)](
                            const TransactionOutcome& outcome) mutable {
        this->writing = false;
        next(outcome);
      }));
}

auto DrainTable::AddAdditions(const std::set<WorkerId>& workers,
                              Transaction& transaction) const -> void {
  for (const WorkerId& worker : workers) {
    const auto entry = this->entries.find(worker);
    const bool stays =
        entry != this->entries.end() && !entry->second.may_be_removed;
    if (!stays && transaction.writes.size() < kMaxChanges) {
      transaction.writes.push_back({std::string(kDrainTable), worker.value,
                                    std::string(kWanted),
                                    std::string(kDutyShard)});
    }
  }
}

auto DrainTable::AddRemovals(const std::set<WorkerId>& workers,
                             Transaction& transaction) const -> void {
  for (const auto& [worker, entry] : this->entries) {
    if (workers.contains(worker) ||
        transaction.writes.size() >= kMaxChanges / 2) {
      continue;
    }
    transaction.conditions.push_back({std::string(kDrainTable), worker.value,
                                      entry.version, std::string(kDutyShard)});
    transaction.writes.push_back({std::string(kDrainTable), worker.value,
                                  std::nullopt, std::string(kDutyShard)});
  }
}

auto DrainTable::MarkMayBeRemoved(const std::vector<Write>& writes) -> void {
  for (const Write& write : writes) {
    const auto entry = this->entries.find(WorkerId(write.key));
    if (!write.value && entry != this->entries.end()) {
      entry->second.may_be_removed = true;
    }
  }
}

}  // namespace fireflythread
