#ifndef FIREFLYTHREAD_DAEMON_DAEMON_H_
#define FIREFLYTHREAD_DAEMON_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/daemon/mailbox.h"
#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/settings/daemon_settings.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread::admin {
class AdminServer;
}  // namespace fireflythread::admin

namespace fireflythread {

class AdminTask;
class CellTask;
class ControllerTask;
class GatewayTask;
class HttpPlatformClient;
class PeerTransport;
class RegistrationTask;
class SpanFile;
class StateTask;
class Tracer;
class VmListTask;

/// All tasks of one entry, wired together on the default main context.
class Daemon {
 public:
  Daemon(DaemonSettings settings, std::uint64_t incarnation);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  /// Opens the listeners and starts the tasks; gives the reason on failure.
  [[nodiscard]] auto Start() -> std::optional<std::string>;

  /// Takes no new callers, finishes the requests in flight, releases the lease,
  /// records the stop, and calls back. A second call has no effect.
  auto Stop(std::function<void()> done) -> void;

 private:
  auto MakeTasks() -> void;
  auto OpenPeers() -> std::optional<std::string>;
  auto OpenAdmin() -> std::optional<std::string>;
  auto HandlePeer(const PeerMessage& message) -> void;
  auto Send(const EntryId& receiver, peer::Envelope envelope) -> void;
  auto NotifyLeaving(std::uint64_t list_version, const std::set<VmId>& vms)
      -> void;
  auto FinishStop() -> void;
  auto UpdateMetrics() -> void;

  DaemonSettings settings;
  std::uint64_t incarnation;
  Logger logger;
  MetricsRegistry metrics;
  std::unique_ptr<SpanFile> span_file;
  std::unique_ptr<Tracer> tracer;
  std::unique_ptr<HttpPlatformClient> platform;
  std::unique_ptr<PeerTransport> peers;
  std::unique_ptr<StateTask> state;
  std::unique_ptr<RegistrationTask> registration;
  std::unique_ptr<CellTask> cells;
  std::unique_ptr<VmListTask> vm_list;
  std::unique_ptr<ControllerTask> controller;
  std::unique_ptr<GatewayTask> gateway;
  std::unique_ptr<AdminTask> admin;
  std::unique_ptr<admin::AdminServer> admin_server;
  std::unique_ptr<Mailbox<PeerMessage>> inbox;
  std::unique_ptr<PeriodicTimer> metrics_timer;
  std::function<void()> stopped;
  bool stopping = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_DAEMON_H_
