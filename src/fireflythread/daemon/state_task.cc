#include "fireflythread/daemon/state_task.h"

#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/config/apply_change.h"
#include "fireflythread/config/config_change.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/daemon/control_rows.h"
#include "fireflythread/daemon/state_task_poll.h"
#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_update.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/fleet/vm_record_codec.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/recovery.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "state";

auto MemberNames(const DaemonSettings& settings) -> std::vector<EntryId> {
  std::vector<EntryId> names;
  names.reserve(settings.peers.members.size());
  for (const auto& [id, endpoint] : settings.peers.members) {
    names.push_back(id);
  }
  return names;
}

auto ToMillis(Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

StateTask::StateTask(const DaemonSettings& daemon_settings,
                     std::uint64_t incarnation,
                     PlatformClient& platform_client,
                     const Logger& log,
                     StateTaskOutputs task_outputs)
    : settings(daemon_settings),
      platform(platform_client),
      logger(log),
      outputs(std::move(task_outputs)),
      membership(MakeMembership(daemon_settings.entry.id,
                                incarnation,
                                MemberNames(daemon_settings))),
      state{std::make_shared<ConfigSnapshot>(), std::make_shared<FleetView>()} {
}

StateTask::~StateTask() = default;

auto StateTask::Start() -> void {
  this->started_at = ReadBootClock();
  this->poll_timer = std::make_unique<PeriodicTimer>(
      ToMillis(this->settings.freshness.poll), [this] { this->PollStore(); });
  this->ping_timer = std::make_unique<PeriodicTimer>(
      ToMillis(this->settings.freshness.ping_period), [this] {
        this->SendPings();
        this->AskForRecovery();
        this->CheckAcceptance(ReadBootClock());
      });
}

auto StateTask::StartStoreReads() -> void {
  this->store_reads_allowed = true;
  this->PollStore();
}

auto StateTask::Current() const -> const ControlState& {
  return this->state;
}

auto StateTask::FleetHeadRowVersion() const -> std::uint64_t {
  return this->fleet_head_row_version;
}

auto StateTask::Members() const -> const Membership& {
  return this->membership;
}

auto StateTask::HasUnresolvedWrite() const -> bool {
  return !this->membership.unresolved_writes.empty();
}

auto StateTask::StoreReachable() const -> bool {
  return this->store_reachable;
}

auto StateTask::PollStore() -> void {
  if (this->poll || !this->store_reads_allowed) {
    return;
  }
  this->poll = std::make_shared<Poll>();
  this->poll->sent_at = ReadBootClock();
  const std::shared_ptr<Poll> current = this->poll;
  const Duration timeout = this->settings.platform.read_timeout;
  this->platform.Scan(TableOf(HeadKind::kConfig), this->config_revision,
                      timeout, [this, current](auto result) {
                        current->config = std::move(result);
                        this->FinishPoll(current);
                      });
  this->platform.Scan(TableOf(HeadKind::kFleet), this->fleet_revision, timeout,
                      [this, current](auto result) {
                        current->fleet = std::move(result);
                        this->FinishPoll(current);
                      });
}

auto StateTask::FinishPoll(const std::shared_ptr<Poll>& current) -> void {
  if (!current->config || !current->fleet) {
    return;
  }
  this->poll.reset();
  const auto* config_error = std::get_if<PlatformError>(&*current->config);
  const auto* fleet_error = std::get_if<PlatformError>(&*current->fleet);
  if (config_error == nullptr && fleet_error == nullptr) {
    if (!this->store_reachable) {
      this->store_reachable = true;
      this->logger.Info(kComponent, "store_reachable");
    }
    this->ApplyPoll(*current);
  } else if (this->store_reachable) {
    this->store_reachable = false;
    const PlatformError* error =
        config_error != nullptr ? config_error : fleet_error;
    this->logger.Warning(kComponent, "store_unreachable",
                         {{"reason", error->reason}});
  }
  this->PublishFreshness();
}

auto StateTask::ApplyPoll(const Poll& current) -> void {
  const auto& config_scan = std::get<ScanResult>(*current.config);
  const auto& fleet_scan = std::get<ScanResult>(*current.fleet);

  bool whole = true;
  if (!config_scan.rows.empty() || !config_scan.deleted.empty()) {
    ConfigChange change;
    change.rows = config_scan.rows;
    change.deleted = config_scan.deleted;
    whole = this->ApplyConfig(change);
  }
  if (!fleet_scan.rows.empty() || !fleet_scan.deleted.empty()) {
    FleetChanges changes;
    changes.from = this->state.fleet->version;
    changes.to = changes.from;
    const std::optional<Row> head =
        FindHeadRow(fleet_scan.rows, HeadKind::kFleet);
    if (head) {
      const auto version = DecodeFleetHead(*head);
      const auto* number = std::get_if<std::uint64_t>(&version);
      changes.to = number != nullptr ? *number : 0;
    }
    changes.rows = fleet_scan.rows;
    for (const std::string& key : fleet_scan.deleted) {
      changes.deleted.push_back({key, fleet_scan.revision});
    }
    whole = this->ApplyFleet(changes) && whole;
  }
  if (!whole) {
    return;
  }
  this->config_revision = config_scan.revision;
  this->fleet_revision = fleet_scan.revision;
  if (this->membership.recovering) {
    FinishRecovery(this->membership,
                   {this->state.config->version, this->state.fleet->version});
    this->logger.Info(kComponent, "control_state_recovered",
                      {{"source", "store"},
                       {"config_version", this->state.config->version},
                       {"fleet_version", this->state.fleet->version}});
    this->Publish();
  }
  TakeStoreRead(this->membership, HeadKind::kConfig,
                this->state.config->version, current.sent_at);
  TakeStoreRead(this->membership, HeadKind::kFleet, this->state.fleet->version,
                current.sent_at);
}

auto StateTask::ApplyConfig(const ConfigChange& change) -> bool {
  ChangeResult result = ApplyChange(*this->state.config, change);
  if (std::holds_alternative<ChangeStale>(result)) {
    return true;
  }
  auto* applied = std::get_if<ChangeApplied>(&result);
  if (applied == nullptr) {
    if (std::holds_alternative<ChangeMalformed>(result)) {
      this->logger.Error(kComponent, "config_rows_malformed");
    }
    return false;
  }
  for (const ConfigFault& fault : applied->faults) {
    this->logger.Error(kComponent, "config_row_malformed",
                       {{"fault", Describe(fault)}});
  }
  if (applied->snapshot == *this->state.config) {
    return true;
  }
  this->state.config =
      std::make_shared<ConfigSnapshot>(std::move(applied->snapshot));
  this->Publish();
  return true;
}

auto StateTask::ApplyFleet(const FleetChanges& changes) -> bool {
  auto view = std::make_shared<FleetView>(*this->state.fleet);
  std::vector<RowError> errors;
  const FleetUpdate update = ApplyFleetChanges(*view, changes, errors);
  for (const RowError& error : errors) {
    this->logger.Error(kComponent, "fleet_row_malformed",
                       {{"key", error.key}, {"reason", error.reason}});
  }
  if (update == FleetUpdate::kStale) {
    return true;
  }
  if (update != FleetUpdate::kApplied) {
    return false;
  }
  this->NoteHeadRows(changes.rows);
  if (*view != *this->state.fleet) {
    this->state.fleet = std::move(view);
    this->Publish();
  }
  return true;
}

auto StateTask::NoteHeadRows(const std::vector<Row>& rows) -> void {
  const std::optional<Row> head = FindHeadRow(rows, HeadKind::kFleet);
  if (head) {
    this->fleet_head_row_version =
        std::max(this->fleet_head_row_version, head->version);
  }
}

auto StateTask::AllRows() const -> std::vector<Row> {
  std::vector<Row> rows = SnapshotRows(*this->state.config);
  std::vector<Row> fleet =
      FleetRows(*this->state.fleet, this->fleet_head_row_version);
  rows.insert(rows.end(), std::make_move_iterator(fleet.begin()),
              std::make_move_iterator(fleet.end()));
  return rows;
}

auto StateTask::Publish() -> void {
  // The gateway gets the new state before the entry reports it as applied.
  this->outputs.control_state(this->state);
  SetApplied(this->membership, HeadKind::kConfig, this->state.config->version);
  SetApplied(this->membership, HeadKind::kFleet, this->state.fleet->version);
  this->PublishFreshness();
}

auto StateTask::PublishFreshness() -> void {
  const std::optional<TimePoint> until =
      ConfirmedUntil(this->membership, this->settings.freshness.limit);
  if (until) {
    this->outputs.confirmed_until(*until);
  }
}

}  // namespace fireflythread
