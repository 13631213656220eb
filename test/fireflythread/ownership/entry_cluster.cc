#include "test/fireflythread/ownership/entry_cluster.h"

#include <algorithm>
#include <optional>

namespace fireflythread::test {

EntryCluster::EntryCluster(std::set<ShardName> shards)
    : wanted(std::move(shards)) {}

auto EntryCluster::Start(const std::string& entry, EntryCapacity capacity)
    -> void {
  OwnershipState state;
  state.self = EntryId(entry);
  state.incarnation = ++this->incarnation;
  state.capacity = capacity;
  state.wanted = this->wanted;
  state.shards_read = true;
  this->views.insert_or_assign(entry, std::move(state));
}

auto EntryCluster::Kill(const std::string& entry) -> void {
  this->views.erase(entry);
}

auto EntryCluster::Tick() -> void {
  this->now += kEntryRenewal;
  for (const auto& [id, view] : this->views) {
    this->Apply(MakeRenewal(view, this->now));
  }
  this->ReadRows();
  this->Claim();
  this->HandOver();
}

auto EntryCluster::Tick(int seconds) -> void {
  for (int second = 0; second < seconds; ++second) {
    this->Tick();
  }
}

auto EntryCluster::OwnerOf(const std::string& shard) const -> std::string {
  for (const auto& [id, view] : this->views) {
    if (OwnsShard(view, ShardName(shard))) {
      return id;
    }
  }
  return "";
}

auto EntryCluster::Apply(const Transaction& transaction) -> void {
  const bool holds = std::all_of(
      transaction.conditions.begin(), transaction.conditions.end(),
      [this](const Condition& condition) -> bool {
        const auto row = this->rows.find({condition.table, condition.key});
        return (row == this->rows.end() ? 0 : row->second.version) ==
               condition.version;
      });
  if (!holds) {
    return;
  }
  ++this->revision;
  for (const Write& write : transaction.writes) {
    // Only the owner reads the rows in a shard's part, so they are not kept.
    if (write.value && write.part.empty()) {
      this->rows[{write.table, write.key}] = {write.table, write.key,
                                              this->revision, *write.value};
    }
  }
}

auto EntryCluster::ReadRows() -> void {
  for (auto& [id, view] : this->views) {
    std::vector<Row> entries;
    for (const auto& [key, row] : this->rows) {
      if (row.table == kEntryTable) {
        entries.push_back(row);
      } else if (row.table == kShardTable) {
        ApplyShardRow(view, row, this->now);
      }
    }
    ApplyEntryRows(view, entries, this->now);
  }
}

auto EntryCluster::Claim() -> void {
  for (const auto& [id, view] : this->views) {
    for (const ShardClaim& claim : NextClaims(view, this->now)) {
      this->Apply(claim.transaction);
    }
  }
  this->ReadRows();
}

auto EntryCluster::HandOver() -> void {
  std::vector<HandoverPlan> plans;
  for (const auto& [id, view] : this->views) {
    if (const auto plan = NextHandover(view, this->now)) {
      plans.push_back(*plan);
      this->Apply(
          MakeRelease(plan->shard, view.shards.at(plan->shard).version, {}));
    }
  }
  this->ReadRows();
  this->Claim();
  for (const HandoverPlan& plan : plans) {
    this->misdirected +=
        this->OwnerOf(plan.shard.value) == plan.preferred.value ? 0 : 1;
    this->handovers.push_back(plan);
  }
}

}  // namespace fireflythread::test
