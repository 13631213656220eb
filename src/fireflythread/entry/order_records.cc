#include "fireflythread/entry/order_records.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/duties/duty_limits.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {

OrderRecords::OrderRecords(TableStore& table_store,
                           ShardName duty_shard,
                           std::uint64_t token,
                           std::function<void()> fenced)
    : store(table_store),
      shard(std::move(duty_shard)),
      fence(token),
      on_fenced(std::move(fenced)) {}

auto OrderRecords::ApplyLoaded(const std::vector<Row>& rows) -> std::set<VmId> {
  std::set<VmId> vms;
  for (const Row& row : rows) {
    this->versions[VmId(row.key)] = row.version;
    vms.insert(VmId(row.key));
  }
  return vms;
}

auto OrderRecords::Record(const std::vector<Duty>& orders, Callback callback)
    -> void {
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(this->shard, this->fence));
  for (const Duty& duty : orders) {
    this->expired.erase(duty.vm);
    transaction.writes.push_back({std::string(kOrderedTable), duty.vm.value,
                                  std::to_string(this->fence),
                                  this->shard.value});
  }
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this, orders, done = std::move(callback)](
                            const TransactionOutcome& outcome) {
        if (const auto* committed = std::get_if<Committed>(&outcome)) {
          this->ApplyRecorded(orders, committed->revision);
        }
        done(outcome);
      }));
}

auto OrderRecords::ApplyRecorded(const std::vector<Duty>& orders,
                                 std::uint64_t version) -> void {
  for (const Duty& duty : orders) {
    this->versions[duty.vm] = version;
  }
}

auto OrderRecords::Remove(const std::vector<VmId>& vms) -> void {
  this->expired.insert(vms.begin(), vms.end());
  this->Step();
}

auto OrderRecords::NextRemovals() -> Versions {
  Versions removals;
  for (auto next = this->expired.begin();
       next != this->expired.end() &&
       removals.size() < kMaxRecordsPerTransaction;) {
    const auto version = this->versions.find(*next);
    if (version == this->versions.end()) {
      // The write of the record got no answer. If it is there, the next owner
      // finds and removes it.
      next = this->expired.erase(next);
      continue;
    }
    removals.insert(*version);
    ++next;
  }
  return removals;
}

auto OrderRecords::Step() -> void {
  if (this->removing) {
    return;
  }
  Versions removals = this->NextRemovals();
  if (removals.empty()) {
    return;
  }
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(this->shard, this->fence));
  for (const auto& [vm, version] : removals) {
    transaction.conditions.push_back(
        {std::string(kOrderedTable), vm.value, version, this->shard.value});
    transaction.writes.push_back({std::string(kOrderedTable), vm.value,
                                  std::nullopt, this->shard.value});
  }
  this->removing = true;
  this->store.Commit(std::move(transaction), kStoreTimeout,
                     this->alive.Guard([this, sent = std::move(removals)](
                                           const TransactionOutcome& outcome) {
                       this->removing = false;
                       this->ApplyRemovalOutcome(sent, outcome);
                     }));
}

auto OrderRecords::ApplyRemovalOutcome(const Versions& removals,
                                       const TransactionOutcome& outcome)
    -> void {
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    this->ApplyConflict(*conflict);
    return;
  }
  if (!std::holds_alternative<Committed>(outcome)) {
    // The next attempt finds out whether this one took effect.
    return;
  }
  for (const auto& [vm, version] : removals) {
    const auto known = this->versions.find(vm);
    if (known != this->versions.end() && known->second == version) {
      this->versions.erase(known);
      this->expired.erase(vm);
    }
  }
}

auto OrderRecords::ApplyConflict(const Conflict& conflict) -> void {
  if (HasNewerFence(conflict, this->fence)) {
    this->on_fenced();
    return;
  }
  for (const Row& row : conflict.current) {
    const VmId vm(row.key);
    if (row.version != 0) {
      this->versions[vm] = row.version;
    } else {
      this->versions.erase(vm);
      this->expired.erase(vm);
    }
  }
}

}  // namespace fireflythread
