#include "fireflythread/daemon/controller_task.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/controller.h"
#include "fireflythread/control/controller_decision.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/service_demand.h"
#include "fireflythread/control/wave_codec.h"
#include "fireflythread/control/worker_fault.h"
#include "fireflythread/daemon/long_task_scheduler.h"
#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/daemon/registration_task.h"
#include "fireflythread/daemon/retention_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/vm_list_task.h"
#include "fireflythread/fleet/drain_tracker.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/lease/held_lease.h"
#include "fireflythread/lease/lease.h"
#include "fireflythread/lease/lease_record.h"
#include "fireflythread/lease/watched_lease.h"
#include "fireflythread/membership/membership.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "controller";
constexpr std::chrono::milliseconds kStepPeriod{250};
/// A report older than this says nothing about present demand.
constexpr std::chrono::seconds kDemandLifetime{5};

auto FindRow(const std::vector<Row>& rows, const char* key)
    -> std::optional<Row> {
  for (const Row& row : rows) {
    if (row.key == key) {
      return row;
    }
  }
  return std::nullopt;
}

}  // namespace

/// What one entry last reported.
struct ControllerTask::EntryDemand {
  TimePoint received_at;
  std::map<ServiceName, ServiceDemand> services;
  std::map<VmId, std::string> ejected;
};

ControllerTask::ControllerTask(Dependencies dependencies,
                               std::uint64_t incarnation)
    : deps(dependencies) {
  this->lease.self = this->deps.settings.entry.id;
  this->lease.incarnation = incarnation;
  this->lease_settings.duration = this->deps.settings.lease.duration;
  this->lease_settings.renew_every = this->deps.settings.lease.renew;
  this->lease_settings.margin = this->deps.settings.lease.margin;
  this->tasks =
      std::make_unique<LongTaskScheduler>(LongTaskScheduler::Dependencies{
          this->deps.settings, this->deps.platform, this->deps.logger,
          this->deps.state, this->lease});
  this->retention = std::make_unique<RetentionTask>(RetentionTask::Dependencies{
      this->deps.settings, this->deps.platform, this->deps.logger,
      this->deps.registration, this->lease});
}

ControllerTask::~ControllerTask() = default;

auto ControllerTask::Start() -> void {
  this->timer =
      std::make_unique<PeriodicTimer>(kStepPeriod, [this] { this->Tick(); });
}

auto ControllerTask::Stop(std::function<void()> done) -> void {
  this->stopped = std::move(done);
  StopLease(this->lease);
  this->Tick();
}

auto ControllerTask::Holder() const -> std::optional<EntryId> {
  if (!this->lease.watched || !this->lease.watched->record ||
      this->lease.watched->record->holder.empty()) {
    return std::nullopt;
  }
  return this->lease.watched->record->holder;
}

auto ControllerTask::IsController() const -> bool {
  return HoldsLease(this->lease, ReadBootClock());
}

auto ControllerTask::Fence() const -> std::optional<Condition> {
  return FenceCondition(this->lease, ReadBootClock());
}

auto ControllerTask::Epoch() const -> std::uint64_t {
  return this->lease.watched ? this->lease.watched->epoch : 0;
}

auto ControllerTask::SinceRenewal() const -> Duration {
  const TimePoint now = ReadBootClock();
  return this->lease.watched ? now - this->lease.watched->unchanged_since
                             : Duration(0);
}

auto ControllerTask::Memory() const -> const ControllerMemory& {
  return this->memory;
}

auto ControllerTask::Report() const -> const std::optional<ControllerReport>& {
  return this->report;
}

auto ControllerTask::Tick() -> void {
  this->HandleLeaseStep(
      StepLease(this->lease, this->lease_settings, ReadBootClock()));
  if (this->stopped && IsReleased(this->lease)) {
    this->timer.reset();
    std::exchange(this->stopped, nullptr)();
    return;
  }
  if (!this->IsController() || this->stopped) {
    return;
  }
  this->retention->Step();
  this->ProbeVms();
  this->tasks->Step(FindUnusableVms(this->Inputs()));
  if (!this->waves_current) {
    this->ReadWaves();
    return;
  }
  // Without the task rows a VM that holds a task's lease could be drained.
  if (!this->deps.state.HasUnresolvedWrite() && this->tasks->HasRead()) {
    this->Decide();
  }
}

auto ControllerTask::HandleLeaseStep(LeaseStep step) -> void {
  if (step.change == LeaseChange::kAcquired) {
    this->BeginTerm();
  } else if (step.change == LeaseChange::kLost) {
    this->EndTerm();
  }
  if (step.transaction) {
    const std::string nonce = step.transaction->nonce;
    this->deps.platform.Commit(
        std::move(*step.transaction),
        this->deps.settings.platform.commit_timeout,
        [this, nonce](const TransactionOutcome& outcome) {
          this->HandleLeaseStep(TakeLeaseOutcome(this->lease,
                                                 this->lease_settings, nonce,
                                                 outcome, ReadBootClock()));
        });
  }
  if (step.read_rows) {
    this->ReadLease();
  }
}

auto ControllerTask::ReadLease() -> void {
  if (this->reading_lease) {
    return;
  }
  this->reading_lease = true;
  const TimePoint sent_at = ReadBootClock();
  this->deps.platform.Scan(
      kLeaseTable, 0, this->deps.settings.platform.read_timeout,
      [this, sent_at](auto result) {
        this->reading_lease = false;
        const auto* scan = std::get_if<ScanResult>(&result);
        if (scan != nullptr) {
          this->HandleLeaseStep(TakeLeaseRows(
              this->lease, this->lease_settings, FindRow(scan->rows, kLeaseKey),
              FindRow(scan->rows, kEpochKey), sent_at, ReadBootClock()));
        }
      });
}

auto ControllerTask::BeginTerm() -> void {
  this->memory = ControllerMemory{};
  this->demand.clear();
  this->waves.clear();
  this->waves_current = false;
  this->tasks->BeginTerm();
  this->retention->BeginTerm();
  this->term_began = ReadBootClock();
  this->deps.logger.Info(kComponent, "controller_lease_acquired",
                         {{"epoch", this->Epoch()}});
}

auto ControllerTask::EndTerm() -> void {
  this->report.reset();
  this->term_began.reset();
  this->deps.logger.Warning(kComponent, "controller_lease_lost",
                            {{"epoch", this->Epoch()}});
}

auto ControllerTask::ReadWaves() -> void {
  if (this->reading_waves) {
    return;
  }
  this->reading_waves = true;
  const std::uint64_t number = ++this->wave_read_number;
  this->deps.platform.Scan(
      std::string(kWaveTable), 0, this->deps.settings.platform.read_timeout,
      [this, number](auto result) {
        this->reading_waves = false;
        const auto* scan = std::get_if<ScanResult>(&result);
        if (scan == nullptr || number != this->wave_read_number) {
          return;
        }
        this->waves.clear();
        for (const Row& row : scan->rows) {
          auto wave = DecodeWaveRecord(row);
          if (auto* record = std::get_if<WaveRecord>(&wave)) {
            this->waves.emplace(record->id, std::move(*record));
          } else {
            this->deps.logger.Error(
                kComponent, "wave_row_malformed",
                {{"key", row.key},
                 {"reason", std::get<RowError>(wave).reason}});
          }
        }
        this->waves_current = true;
      });
}

auto ControllerTask::ProbeVms() -> void {
  const FleetView& fleet = *this->deps.state.Current().fleet;
  for (const auto& [id, record] : fleet.vms) {
    if (record.state != VmState::kServing && !record.address.empty()) {
      this->prober.Probe(id, record.address);
    }
  }
}

auto ControllerTask::MembersNow(TimePoint now) const
    -> std::map<EntryId, MemberState> {
  const Membership& membership = this->deps.state.Members();
  std::map<EntryId, MemberState> members;
  const TimePoint term_start = this->term_began.value_or(now);
  for (const auto& [id, entry] : this->deps.registration.Entries()) {
    if (entry.claim.cell == this->deps.settings.cell.name) {
      members[id] = {entry.incarnation, term_start, 0};
    }
  }
  for (const auto& [id, peer_report] : membership.peers) {
    // An entry that recovered from its peers while the store was down serves
    // before it is registered, so the live incarnation counts.
    members[id] = {peer_report.incarnation, peer_report.answered_question_of,
                   peer_report.versions.fleet};
  }
  for (const auto& [id, entry] : this->deps.registration.Entries()) {
    const auto member = members.find(id);
    if (entry.state == EntryState::kStopped && member != members.end() &&
        member->second.incarnation == entry.incarnation) {
      members.erase(member);
    }
  }
  members[this->lease.self] = {this->lease.incarnation, now,
                               membership.applied.fleet};
  return members;
}

auto ControllerTask::Inputs() const -> ControllerInputs {
  ControllerInputs inputs;
  inputs.now = ReadBootClock();
  inputs.wall_time = std::chrono::system_clock::now();
  const ControlState& state = this->deps.state.Current();
  inputs.config = state.config.get();
  inputs.fleet = state.fleet.get();
  inputs.fleet_head_row_version = this->deps.state.FleetHeadRowVersion();
  inputs.vm_list = this->deps.vm_list.List();
  inputs.waves = this->waves;
  inputs.members = this->MembersNow(inputs.now);
  inputs.cell_size = this->deps.state.Members().members.size();
  inputs.probes = this->prober.Probes();
  inputs.task_vms = this->tasks->BusyVms();
  for (const auto& [entry, reported] : this->demand) {
    if (inputs.now - reported.received_at > kDemandLifetime) {
      continue;
    }
    for (const auto& [service, service_demand] : reported.services) {
      AddDemand(inputs.demand[service], service_demand);
    }
    for (const auto& [vm, reason] : reported.ejected) {
      WorkerFault& fault = inputs.faults[vm];
      ++fault.reporters;
      fault.reason = reason;
    }
  }
  if (this->lease.held) {
    inputs.epoch = this->lease.held->epoch;
    inputs.epoch_row_version = this->lease.held->epoch_version;
  }
  return inputs;
}

auto ControllerTask::Decide() -> void {
  ControllerDecision decision = RunControllerStep(this->Inputs(), this->memory);
  this->report = std::move(decision.report);
  this->SendCommands(decision.commands);
  if (!decision.transactions.empty()) {
    this->CommitDecision(std::move(decision.transactions.front()));
  } else {
    // Operators declare and cancel waves through any entry.
    this->ReadWaves();
  }
}

auto ControllerTask::CommitDecision(Transaction transaction) -> void {
  this->waves_current = false;
  ++this->wave_read_number;
  this->reading_waves = false;
  HeadWrite write;
  write.kind = HeadKind::kFleet;
  write.from_head = this->deps.state.Current().fleet->version;
  write.to_head = write.from_head + 1;
  write.head_row_version = this->deps.state.FleetHeadRowVersion();
  write.transaction = std::move(transaction);
  this->deps.state.CommitHead(
      std::move(write), [this](const TransactionOutcome& outcome) {
        if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
          this->deps.logger.Warning(
              kComponent, "fleet_write_conflict",
              {{"rows", conflict->current.size()},
               {"key", conflict->current.empty()
                           ? std::string()
                           : conflict->current.front().key}});
        } else if (const auto* failed = std::get_if<NotCommitted>(&outcome)) {
          this->deps.logger.Warning(kComponent, "fleet_write_failed",
                                    {{"reason", failed->reason}});
        }
      });
}

auto ControllerTask::SendCommands(const std::vector<VmCommand>& commands)
    -> void {
  for (const VmCommand& command : commands) {
    const std::optional<std::uint64_t> token =
        FencingToken(this->lease, ReadBootClock());
    if (!token) {
      return;
    }
    VmCommand fenced = command;
    fenced.fence = *token;
    this->deps.platform.CommandVm(
        fenced, this->deps.settings.platform.commit_timeout,
        [this, vm = command.vm](auto result) {
          if (const auto* error = std::get_if<PlatformError>(&result)) {
            this->deps.logger.Warning(kComponent, "vm_command_failed",
                                      {{"vm", vm},
                                       {"reason", error->reason},
                                       {"stale_fence", error->stale_fence}});
          }
        });
  }
}

auto ControllerTask::HandlePeer(const PeerMessage& message) -> void {
  if (!this->IsController()) {
    return;
  }
  if (message.envelope.has_drain_ack()) {
    for (const auto& item : message.envelope.drain_ack().items()) {
      NoteDrainAcknowledgement(this->memory.drains, message.sender,
                               VmId(item.vm()),
                               {message.incarnation, item.generation()});
    }
  } else if (message.envelope.has_demand_report()) {
    this->TakeDemand(message.sender, message.envelope.demand_report());
  }
}

auto ControllerTask::TakeDemand(const EntryId& entry,
                                const peer::DemandReport& reported) -> void {
  EntryDemand& kept = this->demand[entry];
  kept.received_at = ReadBootClock();
  kept.services.clear();
  kept.ejected.clear();
  for (const auto& item : reported.services()) {
    ServiceDemand& service = kept.services[ServiceName(item.service())];
    service.arrivals_per_second = item.arrivals_per_second();
    service.in_flight = item.in_flight();
    service.queued = item.queued();
    service.shed_per_second = item.shed_per_second();
    service.mean_service_seconds = item.mean_service_seconds();
    service.answered_in_time_ratio = item.answered_in_time_ratio();
  }
  for (const auto& item : reported.workers()) {
    if (item.ejected()) {
      kept.ejected[VmId(item.vm())] = item.reason();
    }
  }
}

}  // namespace fireflythread
