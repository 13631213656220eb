#include "fireflythread/entry/unresponsive_workers_task.h"

#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/unresponsive_workers.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

/// Key of the row, beside the fence in the shard's own part of the store.
constexpr std::string_view kUnresponsiveKey = "unresponsive";

}  // namespace

UnresponsiveWorkersTask::UnresponsiveWorkersTask(TableStore& table_store,
                                                 ShardState& shard_state,
                                                 std::uint64_t former_owner,
                                                 std::function<void()> on_store)
    : store(table_store),
      state(shard_state),
      former_fence(former_owner),
      on_stored(std::move(on_store)) {}

auto UnresponsiveWorkersTask::Load() -> void {
  this->loader = std::make_unique<RangeLoader>(
      this->store,
      RangeRequest{std::string(kFenceTable), this->state.shard.value},
      [this](const std::vector<Row>& rows, std::uint64_t) {
        this->ApplyRows(rows);
      });
  this->loader->Start();
}

auto UnresponsiveWorkersTask::ApplyRows(const std::vector<Row>& rows) -> void {
  UnresponsiveRow row;
  std::uint64_t version = 0;
  for (const Row& each : rows) {
    if (each.key == kUnresponsiveKey) {
      row = DecodeUnresponsiveRow(each.value);
      version = each.version;
    }
  }
  ApplyUnresponsiveRow(this->state, row, version, this->former_fence);
  this->on_stored();
}

auto UnresponsiveWorkersTask::Step(TimePoint now) -> void {
  if (const auto row = NextUnresponsiveRow(this->state, now)) {
    this->Store(*row);
  }
}

auto UnresponsiveWorkersTask::Store(const UnresponsiveRow& row) -> void {
  const std::string& part = this->state.shard.value;
  const std::string table(kFenceTable);
  const std::string key(kUnresponsiveKey);
  Transaction transaction;
  transaction.conditions.push_back(
      OwnerCondition(this->state.shard, this->state.fence));
  transaction.conditions.push_back(
      {table, key, this->state.unresponsive_record.version, part});
  transaction.writes.push_back({table, key, EncodeUnresponsiveRow(row), part});
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard([this, row](const TransactionOutcome& outcome) {
        this->ApplyOutcome(row, outcome);
        this->on_stored();
      }));
}

auto UnresponsiveWorkersTask::ApplyOutcome(const UnresponsiveRow& row,
                                           const TransactionOutcome& outcome)
    -> void {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    ApplyRowStored(this->state, row, committed->revision);
    return;
  }
  if (std::holds_alternative<NotCommitted>(outcome)) {
    ApplyRowRefused(this->state, ReadBootClock());
    return;
  }
  ApplyRowNotStored(this->state, ReadBootClock());
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    this->ApplyConflict(*conflict);
  }
}

auto UnresponsiveWorkersTask::ApplyConflict(const Conflict& conflict) -> void {
  if (HasNewerFence(conflict, this->state.fence)) {
    this->state.fenced_off = true;
  }
  for (const Row& current : conflict.current) {
    if (current.table == kFenceTable && current.key == kUnresponsiveKey) {
      // An earlier transaction whose answer was lost took effect.
      this->state.unresponsive_record.version = current.version;
    }
  }
}

}  // namespace fireflythread
