#include "fireflythread/daemon/daemon.h"

#include <fmt/format.h>

#include <chrono>
#include <set>
#include <utility>
#include <variant>

#include "fireflythread/admin/admin_server.h"
#include "fireflythread/admin/io_load_admin_tokens.h"
#include "fireflythread/base/io_clock.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/daemon/admin_task.h"
#include "fireflythread/daemon/cell_task.h"
#include "fireflythread/daemon/controller_task.h"
#include "fireflythread/daemon/curve_key_files.h"
#include "fireflythread/daemon/entry_record.h"
#include "fireflythread/daemon/gateway_task.h"
#include "fireflythread/daemon/gateway_telemetry.h"
#include "fireflythread/daemon/registration_task.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/vm_list_task.h"
#include "fireflythread/gateway/gateway.h"
#include "fireflythread/peer/peer_counters.h"
#include "fireflythread/peer/peer_transport.h"
#include "fireflythread/platform/io_http_platform_client.h"
#include "fireflythread/telemetry/io_span_file.h"
#include "fireflythread/telemetry/io_stderr_logger.h"
#include "fireflythread/telemetry/tracer.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "daemon";
constexpr std::chrono::milliseconds kMetricsPeriod{1000};

auto GatewaySettingsOf(const DaemonSettings& settings,
                       std::uint64_t incarnation) -> GatewaySettings {
  GatewaySettings result;
  result.self = settings.entry.id;
  result.zone = settings.entry.zone;
  result.listen_ip = settings.entry.caller_listen.host;
  result.listen_port = settings.entry.caller_listen.port;
  for (const auto& [id, endpoint] : settings.peers.members) {
    result.members.push_back(id);
  }
  result.max_request_bytes =
      static_cast<std::size_t>(settings.limits.request_body);
  result.max_response_bytes =
      static_cast<std::size_t>(settings.limits.response_body);
  result.max_header_bytes =
      static_cast<std::size_t>(settings.limits.request_headers);
  result.max_caller_connections =
      static_cast<std::size_t>(settings.limits.caller_connections);
  result.receive_timeout = settings.limits.receive_timeout;
  result.max_queued = static_cast<std::size_t>(settings.limits.queue_length);
  result.longest_request = settings.limits.longest_request;
  result.store_timeout = settings.platform.commit_timeout;
  result.sample_ratio = settings.telemetry.sample_ratio;
  result.incarnation = incarnation;
  result.seed = incarnation;
  return result;
}

auto OwnRecord(const DaemonSettings& settings, std::uint64_t incarnation)
    -> EntryRecord {
  EntryRecord record;
  record.id = settings.entry.id;
  record.incarnation = incarnation;
  record.zone = settings.entry.zone;
  record.claim = {settings.cell.name, settings.cell.zones};
  record.caller_address = FormatEndpoint(settings.entry.caller_listen);
  record.admin_address = FormatEndpoint(settings.entry.admin_listen);
  record.peer_address = FormatEndpoint(settings.peers.listen);
  return record;
}

}  // namespace

Daemon::Daemon(DaemonSettings daemon_settings, std::uint64_t number)
    : settings(std::move(daemon_settings)),
      incarnation(number),
      logger(
          MakeStderrLogger({this->settings.entry.id, this->settings.entry.zone},
                           this->settings.telemetry.log_level)) {
  Tracer::Sink sink;
  if (!this->settings.telemetry.trace_file.empty()) {
    this->span_file =
        std::make_unique<SpanFile>(this->settings.telemetry.trace_file,
                                   this->settings.telemetry.trace_file_limit);
    sink = [this](std::string_view line) { this->span_file->Append(line); };
  }
  this->tracer = std::make_unique<Tracer>(
      LogIdentity{this->settings.entry.id, this->settings.entry.zone},
      static_cast<std::size_t>(this->settings.telemetry.trace_ring),
      std::move(sink));
  this->platform = std::make_unique<HttpPlatformClient>(
      FormatEndpoint(this->settings.platform.address));
  this->inbox = std::make_unique<Mailbox<PeerMessage>>(
      [this](const PeerMessage& message) { this->HandlePeer(message); });
  this->MakeTasks();
}

Daemon::~Daemon() = default;

auto Daemon::MakeTasks() -> void {
  const auto send = [this](const EntryId& receiver, peer::Envelope envelope) {
    this->Send(receiver, std::move(envelope));
  };

  GatewayTaskOutputs gateway_outputs;
  gateway_outputs.send = send;
  gateway_outputs.controller = [this] { return this->controller->Holder(); };
  this->gateway = std::make_unique<GatewayTask>(
      std::make_unique<Gateway>(
          GatewaySettingsOf(this->settings, this->incarnation), *this->platform,
          MakeGatewayObserver(this->logger, *this->tracer, this->metrics)),
      std::move(gateway_outputs));

  StateTaskOutputs state_outputs;
  state_outputs.control_state = [this](const ControlState& control_state) {
    this->gateway->ApplyControlState(control_state);
  };
  state_outputs.confirmed_until = [this](TimePoint until) {
    this->gateway->Requests().SetConfirmedUntil(until);
  };
  state_outputs.send = send;
  this->state = std::make_unique<StateTask>(this->settings, this->incarnation,
                                            *this->platform, this->logger,
                                            std::move(state_outputs));

  this->registration = std::make_unique<RegistrationTask>(
      this->settings, OwnRecord(this->settings, this->incarnation),
      *this->platform, this->logger,
      [this] { this->gateway->Requests().SetPredecessorGone(); },
      [this] {
        this->cells->Start([this] { this->state->StartStoreReads(); });
      });

  this->cells = std::make_unique<CellTask>(
      this->settings, *this->platform, this->logger, *this->state,
      [this] { return this->controller->Fence(); });

  this->vm_list = std::make_unique<VmListTask>(
      this->settings, *this->platform,
      [this](std::set<VmId> vms) {
        this->gateway->Requests().SetLeaving(std::move(vms));
      },
      [this](std::uint64_t version, const std::set<VmId>& vms) {
        this->NotifyLeaving(version, vms);
      });

  this->controller = std::make_unique<ControllerTask>(
      ControllerTask::Dependencies{this->settings, *this->platform,
                                   this->logger, *this->state,
                                   *this->registration, *this->vm_list},
      this->incarnation);

  this->admin = std::make_unique<AdminTask>(
      AdminTask::Dependencies{this->settings, *this->platform, this->logger,
                              *this->state, *this->controller, *this->gateway,
                              *this->registration, *this->cells, *this->tracer,
                              this->metrics, send},
      this->incarnation);
}

auto Daemon::Start() -> std::optional<std::string> {
  if (std::optional<std::string> error = this->OpenPeers()) {
    return error;
  }
  if (std::optional<std::string> error = this->OpenAdmin()) {
    return error;
  }
  const StartResult started = this->gateway->Requests().Start();
  if (const auto* error = std::get_if<StartError>(&started)) {
    return "the caller listener cannot be opened: " + error->reason;
  }
  this->state->Start();
  this->registration->Start();
  this->vm_list->Start();
  this->controller->Start();
  this->gateway->Start();
  this->admin->Start();
  this->metrics_timer = std::make_unique<PeriodicTimer>(
      kMetricsPeriod, [this] { this->UpdateMetrics(); });
  this->logger.Info(
      kComponent, "daemon_started",
      {{"caller_port", std::get<BoundPort>(started).port},
       {"admin_port", this->admin_server->Port()},
       {"peer_address", this->peers->ListenAddress()},
       {"incarnation", fmt::format("{:016x}", this->incarnation)}});
  return std::nullopt;
}

auto Daemon::OpenPeers() -> std::optional<std::string> {
  auto keys = LoadCurveKeys(this->settings);
  if (const auto* error = std::get_if<std::string>(&keys)) {
    return *error;
  }
  PeerTransportSettings transport;
  transport.self = this->settings.entry.id;
  transport.incarnation = this->incarnation;
  transport.listen_address = FormatEndpoint(this->settings.peers.listen);
  for (const auto& [id, endpoint] : this->settings.peers.members) {
    if (id != this->settings.entry.id) {
      transport.peers[id] = FormatEndpoint(endpoint);
    }
  }
  transport.keys = std::get<std::optional<CurveKeys>>(std::move(keys));
  transport.allow_plaintext_beyond_loopback =
      this->settings.peer_security.allow_plaintext_beyond_loopback;
  auto opened = PeerTransport::Open(
      std::move(transport), nullptr, [this](const peer::Envelope& envelope) {
        this->inbox->Post(
            {EntryId(envelope.sender()), envelope.incarnation(), envelope});
      });
  if (const auto* error = std::get_if<PeerTransport::OpenError>(&opened)) {
    return "the peer listener cannot be opened: " + error->reason;
  }
  this->peers = std::get<std::unique_ptr<PeerTransport>>(std::move(opened));
  return std::nullopt;
}

auto Daemon::OpenAdmin() -> std::optional<std::string> {
  auto tokens = admin::LoadAdminTokens(this->settings.admin.token_file);
  if (const auto* faults = std::get_if<std::vector<std::string>>(&tokens)) {
    std::string text = "the token file cannot be used:";
    for (const std::string& fault : *faults) {
      text += " " + fault + ";";
    }
    return text;
  }
  admin::AdminServerOptions options;
  options.listen = this->settings.entry.admin_listen;
  options.tls_certificate = this->settings.admin.tls_certificate;
  options.tls_key = this->settings.admin.tls_key;
  options.max_body = this->settings.limits.admin_body;
  options.max_headers = this->settings.limits.admin_headers;
  options.max_connections = this->settings.limits.admin_connections;
  options.receive_timeout = this->settings.limits.receive_timeout;
  this->admin_server = std::make_unique<admin::AdminServer>(
      std::move(options), std::get<admin::AdminTokens>(std::move(tokens)),
      *this->admin, this->logger);
  if (std::optional<std::string> error = this->admin_server->Start()) {
    return "the administration listener cannot be opened: " + *error;
  }
  return std::nullopt;
}

auto Daemon::Send(const EntryId& receiver, peer::Envelope envelope) -> void {
  if (receiver == this->settings.entry.id) {
    envelope.set_sender(receiver.value);
    envelope.set_incarnation(this->incarnation);
    this->inbox->Post({receiver, this->incarnation, std::move(envelope)});
  } else if (this->peers) {
    // A dropped message is repeated or asked for again by its protocol.
    (void)this->peers->Send(receiver, std::move(envelope));
  }
}

auto Daemon::HandlePeer(const PeerMessage& message) -> void {
  switch (message.envelope.body_case()) {
    case peer::Envelope::kPing:
    case peer::Envelope::kPong:
    case peer::Envelope::kStatePush:
    case peer::Envelope::kSnapshotRequest:
    case peer::Envelope::kSnapshotReply:
      this->state->HandlePeer(message);
      break;
    case peer::Envelope::kDrainAck:
    case peer::Envelope::kDemandReport:
      this->controller->HandlePeer(message);
      break;
    case peer::Envelope::kSlotLoanRequest:
    case peer::Envelope::kSlotLoanReply:
    case peer::Envelope::kSlotReturn:
      this->gateway->HandlePeer(message);
      break;
    case peer::Envelope::kReportRequest:
    case peer::Envelope::kReportReply:
    case peer::Envelope::kTraceRequest:
    case peer::Envelope::kTraceReply:
      this->admin->HandlePeer(message);
      break;
    case peer::Envelope::kLeavingNotice: {
      std::set<VmId> vms;
      for (const std::string& vm : message.envelope.leaving_notice().vms()) {
        vms.insert(VmId(vm));
      }
      this->vm_list->HandleNotice(
          message.envelope.leaving_notice().list_version(), std::move(vms));
      break;
    }
    default:
      break;
  }
}

auto Daemon::NotifyLeaving(std::uint64_t list_version,
                           const std::set<VmId>& vms) -> void {
  peer::Envelope envelope;
  peer::LeavingNotice& notice = *envelope.mutable_leaving_notice();
  notice.set_list_version(list_version);
  for (const VmId& vm : vms) {
    notice.add_vms(vm.value);
  }
  if (this->peers) {
    (void)this->peers->Broadcast(std::move(envelope));
  }
}

auto Daemon::UpdateMetrics() -> void {
  const PeerCounters& counters = this->peers->Counters();
  this->metrics
      .GetGauge("fireflythread_peer_messages_malformed",
                "Messages from peers that were malformed and left out.")
      .Set(static_cast<double>(counters.malformed));
  this->metrics
      .GetGauge("fireflythread_peer_messages_dropped",
                "Messages to peers that found no connection or a full queue.")
      .Set(static_cast<double>(counters.send_dropped));
  this->metrics
      .GetGauge("fireflythread_ready", "1 while the entry serves callers.")
      .Set(this->admin->GetReadiness().state ==
                   admin::Readiness::State::kServing
               ? 1
               : 0);
  this->metrics
      .GetGauge("fireflythread_is_controller",
                "1 while the entry holds the controller lease.")
      .Set(this->controller->IsController() ? 1 : 0);
  this->metrics
      .GetGauge("fireflythread_config_version",
                "The configuration version in force at the entry.")
      .Set(static_cast<double>(this->state->Current().config->version));
}

auto Daemon::Stop(std::function<void()> done) -> void {
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  this->stopped = std::move(done);
  this->logger.Info(kComponent, "daemon_stopping");
  this->admin->SetStopping();
  this->controller->Stop([] {});
  this->gateway->Requests().BeginShutdown([this] { this->FinishStop(); });
}

auto Daemon::FinishStop() -> void {
  this->registration->Stop([this] {
    this->logger.Info(kComponent, "daemon_stopped");
    std::exchange(this->stopped, nullptr)();
  });
}

}  // namespace fireflythread
