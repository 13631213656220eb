// The part of the state task that writes head rows and waits for acceptance.

#include <algorithm>
#include <string>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/base/overloaded.h"
#include "fireflythread/config/config_change.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/daemon/control_rows.h"
#include "fireflythread/daemon/state_rows.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/state_task_poll.h"
#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/vm_record_codec.h"
#include "fireflythread/membership/acceptance.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/peer/state_codec.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "state";

/// Rewrites the head row with its number unchanged. Once this is committed, or
/// conflicts, a write of unknown result can no longer take effect later,
/// because its condition on the head row's version fails.
auto SettlingWrite(const HeadWrite& write) -> Transaction {
  const std::string table = TableOf(write.kind);
  const std::string key(kFleetHeadKey);
  Transaction transaction;
  transaction.nonce = write.transaction.nonce + "/settle";
  transaction.conditions.push_back({table, key, write.head_row_version});
  transaction.writes.push_back({table, key, EncodeFleetHead(write.from_head)});
  return transaction;
}

}  // namespace

auto StateTask::CommitHead(HeadWrite write, CommitCallback callback) -> void {
  BeginWrite(this->membership, write.transaction.nonce);
  auto shared_write = std::make_shared<HeadWrite>(std::move(write));
  auto shared_callback = std::make_shared<CommitCallback>(std::move(callback));
  this->platform.Commit(
      shared_write->transaction, this->settings.platform.commit_timeout,
      [this, shared_write, shared_callback](TransactionOutcome outcome) {
        if (std::holds_alternative<CommitUnknown>(outcome)) {
          this->logger.Warning(kComponent, "commit_result_unknown",
                               {{"nonce", shared_write->transaction.nonce}});
          this->Settle(shared_write, shared_callback);
          return;
        }
        if (const auto* committed = std::get_if<Committed>(&outcome)) {
          this->ApplyCommitted(*shared_write, committed->revision);
        }
        this->Resolve(*shared_write);
        (*shared_callback)(std::move(outcome));
      });
}

auto StateTask::Resolve(const HeadWrite& write) -> void {
  ResolveWrite(this->membership, write.transaction.nonce);
  this->PublishFreshness();
}

auto StateTask::Settle(const std::shared_ptr<HeadWrite>& write,
                       const std::shared_ptr<CommitCallback>& callback)
    -> void {
  this->platform.Commit(
      SettlingWrite(*write), this->settings.platform.commit_timeout,
      [this, write, callback](const TransactionOutcome& outcome) {
        if (std::holds_alternative<NotCommitted>(outcome) ||
            std::holds_alternative<CommitUnknown>(outcome)) {
          // The store is down; nothing else can be written meanwhile.
          g_timeout_add_once(
              static_cast<guint>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      this->settings.freshness.poll)
                      .count()),
              [](gpointer data) {
                auto* retry = static_cast<std::function<void()>*>(data);
                (*retry)();
                delete retry;
              },
              new std::function<void()>(
                  [this, write, callback] { this->Settle(write, callback); }));
          return;
        }
        // The rows are read before the entry vouches again, so that it knows
        // the version that the write may have made.
        this->platform.Scan(
            TableOf(write->kind), 0, this->settings.platform.read_timeout,
            [this, write, callback](auto result) {
              const auto* scan = std::get_if<ScanResult>(&result);
              if (scan == nullptr ||
                  !this->ReplaceState(scan->rows, write->kind)) {
                this->Settle(write, callback);
                return;
              }
              this->NoteHeadRows(scan->rows);
              this->Resolve(*write);
              (*callback)(NotCommitted{kSettledReason});
            });
      });
}

auto StateTask::ApplyCommitted(const HeadWrite& write, std::uint64_t revision)
    -> void {
  const std::string table = TableOf(write.kind);
  peer::Envelope envelope;
  peer::StatePush& push = *envelope.mutable_state_push();
  push.set_table(table);
  push.set_from_version(write.from_head);
  push.set_to_version(write.to_head);
  for (const Write& item : write.transaction.writes) {
    if (item.table != table) {
      continue;
    }
    peer::StateRow& row = *push.add_rows();
    row = ToMessage({item.table, item.key, revision, item.value.value_or("")});
    row.set_deleted(!item.value.has_value());
  }
  // Peers are told before the change is applied here, which may take longer.
  this->PushToPeers(envelope);

  const std::vector<Row> rows = RowsFromProto(push.rows());
  if (write.kind == HeadKind::kConfig) {
    ConfigChange change;
    change.from_version = write.from_head;
    change.rows = rows;
    change.deleted = DeletedKeysFromProto(push.rows());
    (void)this->ApplyConfig(change);
  } else {
    FleetChanges changes;
    changes.from = write.from_head;
    changes.to = write.to_head;
    changes.rows = rows;
    changes.deleted = DeletedRowsFromProto(push.rows());
    (void)this->ApplyFleet(changes);
  }
}

auto StateTask::RefreshConfig(std::function<void()> done) -> void {
  this->platform.Scan(
      TableOf(HeadKind::kConfig), 0, this->settings.platform.read_timeout,
      [this, done = std::move(done)](auto result) {
        const auto* scan = std::get_if<ScanResult>(&result);
        if (scan != nullptr) {
          (void)this->ReplaceState(scan->rows, HeadKind::kConfig);
        }
        done();
      });
}

auto StateTask::WatchAcceptance(std::uint64_t config_version,
                                TimePoint deadline,
                                std::function<void(bool)> callback) -> void {
  auto waiter = std::make_unique<AcceptanceWaiter>();
  waiter->watch.kind = HeadKind::kConfig;
  waiter->watch.version = config_version;
  waiter->deadline = deadline;
  waiter->callback = std::move(callback);
  this->waiters.push_back(std::move(waiter));
  this->SendPings();
}

auto StateTask::CheckAcceptance(TimePoint now) -> void {
  std::vector<std::unique_ptr<AcceptanceWaiter>> finished;
  for (auto& waiter : this->waiters) {
    const bool accepted = WatchSelf(waiter->watch, this->membership, now);
    if (accepted || now >= waiter->deadline) {
      finished.push_back(std::move(waiter));
    }
  }
  std::erase(this->waiters, nullptr);
  for (const auto& waiter : finished) {
    waiter->callback(waiter->watch.accepted_at.has_value());
  }
}

}  // namespace fireflythread
