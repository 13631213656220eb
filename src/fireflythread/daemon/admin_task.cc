#include "fireflythread/daemon/admin_task.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/cells/cell_acceptance.h"
#include "fireflythread/config/codec.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/config/plan_edit.h"
#include "fireflythread/config/tables.h"
#include "fireflythread/daemon/admin_task_waiters.h"
#include "fireflythread/daemon/cell_task.h"
#include "fireflythread/daemon/controller_report_codec.h"
#include "fireflythread/daemon/controller_task.h"
#include "fireflythread/daemon/gateway_task.h"
#include "fireflythread/daemon/history_reader.h"
#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/daemon/registration_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/platform/platform_client.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"
#include "fireflythread/telemetry/span.h"
#include "fireflythread/telemetry/tracer.h"

namespace fireflythread {
namespace {

using admin::AdminError;

constexpr std::chrono::milliseconds kWaiterPeriod{50};
constexpr std::chrono::milliseconds kReportTimeout{700};
constexpr std::chrono::milliseconds kCellReadPeriod{200};

auto NotFound(const std::string& what) -> AdminError {
  return {AdminError::Kind::kNotFound, what + " does not exist", {}};
}

template <typename Map, typename Encode>
auto Encoded(admin::ObjectKind kind, const Map& objects, Encode encode)
    -> std::vector<admin::ConfigObject> {
  std::vector<admin::ConfigObject> result;
  result.reserve(objects.size());
  for (const auto& [name, object] : objects) {
    result.push_back({kind, name.value, object.version, encode(object)});
  }
  return result;
}

auto PeersOf(const DaemonSettings& settings) -> std::set<EntryId> {
  std::set<EntryId> peers;
  for (const auto& [id, endpoint] : settings.peers.members) {
    if (id != settings.entry.id) {
      peers.insert(id);
    }
  }
  return peers;
}

}  // namespace

AdminTask::AdminTask(Dependencies dependencies, std::uint64_t incarnation)
    : deps(std::move(dependencies)),
      editor(this->deps.settings,
             incarnation,
             this->deps.platform,
             this->deps.logger,
             this->deps.state,
             this->deps.cells),
      traces(this->deps.tracer, PeersOf(this->deps.settings), this->deps.send) {
}

AdminTask::~AdminTask() = default;

auto AdminTask::Start() -> void {
  this->timer = std::make_unique<PeriodicTimer>(
      kWaiterPeriod, [this] { this->CheckWaiters(); });
}

auto AdminTask::SetStopping() -> void {
  this->stopping = true;
}

auto AdminTask::Objects(admin::ObjectKind kind) const
    -> std::vector<admin::ConfigObject> {
  const ConfigSnapshot& config = *this->deps.state.Current().config;
  switch (kind) {
    case admin::ObjectKind::kProfile:
      return Encoded(kind, config.profiles, EncodeProfile);
    case admin::ObjectKind::kService:
      return Encoded(kind, config.services, EncodeService);
    case admin::ObjectKind::kPool:
      return Encoded(kind, config.pools, EncodePool);
    case admin::ObjectKind::kTeam:
      return Encoded(kind, config.teams, EncodeTeam);
  }
  return {};
}

auto AdminTask::ListObjects(admin::ObjectKind kind,
                            Callback<std::vector<admin::ConfigObject>> callback)
    -> void {
  callback(this->Objects(kind));
}

auto AdminTask::GetObject(admin::ObjectKind kind,
                          std::string name,
                          Callback<admin::ConfigObject> callback) -> void {
  for (admin::ConfigObject& object : this->Objects(kind)) {
    if (object.name == name) {
      callback(std::move(object));
      return;
    }
  }
  callback(NotFound(ConfigKey(static_cast<ConfigKind>(kind), name)));
}

auto AdminTask::Edit(admin::EditRequest request, EditCallback callback)
    -> void {
  this->editor.Edit(request, std::move(callback));
}

auto AdminTask::FindTrace(std::string trace_id,
                          Callback<admin::FoundTrace> callback) -> void {
  this->traces.Find(trace_id, ReadBootClock(),
                    [trace_id, callback](admin::FoundTrace trace) {
                      if (trace.spans.empty()) {
                        callback(NotFound("trace " + trace_id));
                      } else {
                        callback(std::move(trace));
                      }
                    });
}

auto AdminTask::RenderMetrics() const -> std::string {
  return this->deps.metrics.Render();
}

auto AdminTask::GetReadiness() const -> admin::Readiness {
  const Membership& membership = this->deps.state.Members();
  if (this->stopping) {
    return {admin::Readiness::State::kStopping,
            "finishing the requests in flight"};
  }
  if (const std::string& conflict = this->deps.registration.ClaimConflict();
      !conflict.empty()) {
    return {admin::Readiness::State::kStarting, conflict};
  }
  if (membership.recovering) {
    return {admin::Readiness::State::kStarting,
            "neither the store nor a majority of peers has given the control "
            "state"};
  }
  if (!MayServe(membership, this->deps.settings.freshness.limit,
                ReadBootClock())) {
    return {admin::Readiness::State::kCutOff,
            "neither the store nor a majority of peers confirms the control "
            "state"};
  }
  if (this->deps.state.Current().config->services.empty()) {
    return {admin::Readiness::State::kStarting, "no service is configured"};
  }
  return {admin::Readiness::State::kServing, ""};
}

auto AdminTask::ConfigStatus(std::uint64_t version) const
    -> admin::ConfigVersionStatus {
  const Membership& membership = this->deps.state.Members();
  admin::ConfigVersionStatus status;
  status.committed = HighestKnown(membership, HeadKind::kConfig);
  status.in_force[membership.self] = membership.applied.config;
  for (const admin::EntryStatus& entry : this->Entries()) {
    if (entry.state == admin::Readiness::State::kServing) {
      status.in_force[entry.id] = entry.config_version;
    }
  }
  const std::uint64_t wanted = version == 0 ? status.committed : version;
  std::vector<std::uint64_t> versions;
  for (const auto& [id, applied] : status.in_force) {
    versions.push_back(applied);
    if (applied < wanted) {
      status.behind.push_back(id);
    }
  }
  std::sort(versions.rbegin(), versions.rend());
  const std::size_t majority = MajorityOf(membership);
  status.accepted = versions.size() >= majority ? versions[majority - 1] : 0;
  return status;
}

auto AdminTask::WaitForConfig(std::uint64_t version,
                              Duration wait,
                              Callback<admin::ConfigVersionStatus> callback)
    -> void {
  this->CheckConfigWaiter(
      {version, ReadBootClock() + wait, std::move(callback), {}});
}

auto AdminTask::CheckConfigWaiter(ConfigWaiter waiter) -> void {
  // The own cell is looked at before the rows are read, so that the rows are
  // newer than the commit of each version that the own cell has in force.
  admin::ConfigVersionStatus status = this->ConfigStatus(waiter.version);
  this->deps.cells.ReadRows(
      [this, waiter = std::move(waiter), status = std::move(status)](
          const std::optional<std::vector<Row>>& rows) mutable {
        const CellName& own = this->deps.settings.cell.name;
        const std::uint64_t wanted =
            waiter.version == 0 ? status.committed : waiter.version;
        if (rows) {
          this->accepted_config =
              std::max(this->accepted_config,
                       AcceptedInAllCells(own, status.accepted, *rows));
          status.missing_cells =
              JudgeCells(own, status.accepted >= wanted, *rows, wanted).missing;
        }
        status.accepted = this->accepted_config;
        const bool reached = status.behind.empty() &&
                             status.accepted >= wanted &&
                             status.committed >= wanted;
        const TimePoint now = ReadBootClock();
        if (reached || now >= waiter.deadline) {
          waiter.callback(std::move(status));
          return;
        }
        waiter.next = now + kCellReadPeriod;
        this->config_waiters.push_back(std::move(waiter));
      });
}

auto AdminTask::CheckWaiters() -> void {
  const TimePoint now = ReadBootClock();
  std::vector<std::function<void()>> ready;
  std::erase_if(this->config_waiters, [&](ConfigWaiter& waiter) {
    if (now < waiter.next && now < waiter.deadline) {
      return false;
    }
    ready.emplace_back(
        [this, due = std::move(waiter)] { this->CheckConfigWaiter(due); });
    return true;
  });
  std::erase_if(this->report_waiters, [&](auto& item) {
    if (now < item.second.deadline) {
      return false;
    }
    ready.emplace_back([callback = std::move(item.second.callback)] {
      callback(std::nullopt);
    });
    return true;
  });
  for (const auto& call : ready) {
    call();
  }
  this->traces.EndOverdue(now);
}

auto AdminTask::WithReport(ReportCallback callback) -> void {
  if (this->deps.controller.IsController()) {
    callback(this->deps.controller.Report());
    return;
  }
  const std::optional<EntryId> holder = this->deps.controller.Holder();
  if (!holder || *holder == this->deps.settings.entry.id) {
    callback(std::nullopt);
    return;
  }
  const std::uint64_t request = ++this->report_requests;
  this->report_waiters.emplace(
      request,
      ReportWaiter{ReadBootClock() + kReportTimeout, std::move(callback)});
  peer::Envelope envelope;
  envelope.mutable_report_request()->set_request(request);
  this->deps.send(*holder, std::move(envelope));
}

auto AdminTask::HandlePeer(const PeerMessage& message) -> void {
  if (message.envelope.has_report_request()) {
    peer::Envelope envelope;
    peer::ReportReply& reply = *envelope.mutable_report_reply();
    reply.set_request(message.envelope.report_request().request());
    const std::optional<ControllerReport>& report =
        this->deps.controller.Report();
    if (this->deps.controller.IsController() && report) {
      reply.set_controller(true);
      reply.set_report(EncodeControllerReport(*report));
    }
    this->deps.send(message.sender, std::move(envelope));
  } else if (message.envelope.has_report_reply()) {
    const peer::ReportReply& reply = message.envelope.report_reply();
    auto waiter = this->report_waiters.extract(reply.request());
    if (!waiter.empty()) {
      waiter.mapped().callback(reply.controller()
                                   ? DecodeControllerReport(reply.report())
                                   : std::nullopt);
    }
  } else {
    this->traces.HandlePeer(message);
  }
}

auto AdminTask::ListHistory(admin::HistoryQuery query,
                            Callback<std::vector<admin::HistoryEntry>> callback)
    -> void {
  HistoryReader::Start(this->deps.platform,
                       this->deps.settings.platform.read_timeout,
                       std::move(query), std::move(callback));
}

}  // namespace fireflythread
