#ifndef FIREFLYTHREAD_DAEMON_ADMIN_TASK_H_
#define FIREFLYTHREAD_DAEMON_ADMIN_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/admin/admin_backend.h"
#include "fireflythread/admin/readiness.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/daemon/config_editor.h"
#include "fireflythread/daemon/trace_collector.h"
#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

class CellTask;
class ControllerTask;
class GatewayTask;
class Logger;
class MetricsRegistry;
class RegistrationTask;
class Tracer;
struct PeerMessage;

/// What the administration API shows and changes, on behalf of AdminServer.
class AdminTask : public admin::AdminBackend {
 public:
  struct Dependencies {
    const DaemonSettings& settings;
    PlatformClient& platform;
    const Logger& logger;
    StateTask& state;
    ControllerTask& controller;
    GatewayTask& gateway;
    const RegistrationTask& registration;
    CellTask& cells;
    const Tracer& tracer;
    const MetricsRegistry& metrics;
    std::function<void(const EntryId&, peer::Envelope)> send;
  };

  AdminTask(Dependencies dependencies, std::uint64_t incarnation);
  ~AdminTask() override;

  auto Start() -> void;
  /// Takes a request for the controller's report or for a trace, or the answer
  /// to one.
  auto HandlePeer(const PeerMessage& message) -> void;
  /// From now on the entry reports that it stops.
  auto SetStopping() -> void;

  auto ListObjects(admin::ObjectKind kind,
                   Callback<std::vector<admin::ConfigObject>> callback)
      -> void override;
  auto GetObject(admin::ObjectKind kind,
                 std::string name,
                 Callback<admin::ConfigObject> callback) -> void override;
  auto Edit(admin::EditRequest request, EditCallback callback) -> void override;
  auto ListPools(Callback<std::vector<admin::PoolStatus>> callback)
      -> void override;
  auto ListVms(admin::VmFilter filter,
               Callback<std::vector<admin::VmStatus>> callback)
      -> void override;
  auto GetVm(VmId id, Callback<admin::VmStatus> callback) -> void override;
  auto DeclareMaintenance(admin::DeclareRequest request,
                          Callback<admin::WaveStatus> callback)
      -> void override;
  auto ListWaves(Callback<std::vector<admin::WaveStatus>> callback)
      -> void override;
  auto GetWave(WaveId id, Callback<admin::WaveStatus> callback)
      -> void override;
  auto CancelWave(WaveId id,
                  std::string who,
                  Callback<admin::WaveStatus> callback) -> void override;
  auto GetStatus(Callback<admin::FleetStatus> callback) -> void override;
  auto WaitForConfig(std::uint64_t version,
                     Duration wait,
                     Callback<admin::ConfigVersionStatus> callback)
      -> void override;
  auto ListHistory(admin::HistoryQuery query,
                   Callback<std::vector<admin::HistoryEntry>> callback)
      -> void override;
  auto FindTrace(std::string trace_id, Callback<admin::FoundTrace> callback)
      -> void override;
  [[nodiscard]] auto GetReadiness() const -> admin::Readiness override;
  [[nodiscard]] auto RenderMetrics() const -> std::string override;

 private:
  using ReportCallback =
      std::function<void(const std::optional<ControllerReport>&)>;
  struct ReportWaiter;
  struct ConfigWaiter;

  /// The controller's report, asked of the controller when it is a peer; no
  /// value when there is none or it does not answer in time.
  auto WithReport(ReportCallback callback) -> void;
  auto ReadWaves(Callback<std::vector<WaveRecord>> callback) -> void;
  auto PlanDryRun(const WaveRecord& record) const -> admin::WaveStatus;
  auto CommitWave(WaveRecord record,
                  std::string nonce,
                  Callback<admin::WaveStatus> callback) -> void;
  auto CancelStep(const WaveRecord& cancelled,
                  const Callback<admin::WaveStatus>& callback) -> void;
  auto Objects(admin::ObjectKind kind) const
      -> std::vector<admin::ConfigObject>;
  auto Pools(const std::optional<ControllerReport>& report) const
      -> std::vector<admin::PoolStatus>;
  auto Entries() const -> std::vector<admin::EntryStatus>;
  auto ConfigStatus(std::uint64_t version) const -> admin::ConfigVersionStatus;
  auto BuildStatus(const std::optional<ControllerReport>& report,
                   const std::vector<WaveRecord>& waves) const
      -> admin::FleetStatus;
  auto CheckWaiters() -> void;
  /// Reads the rows of all cells, and answers when the version is in force
  /// everywhere or the time is over.
  auto CheckConfigWaiter(ConfigWaiter waiter) -> void;

  Dependencies deps;
  ConfigEditor editor;
  TraceCollector traces;
  std::uint64_t report_requests = 0;
  std::map<std::uint64_t, ReportWaiter> report_waiters;
  std::vector<ConfigWaiter> config_waiters;
  /// The highest version that was seen accepted by all cells.
  std::uint64_t accepted_config = 0;
  std::unique_ptr<PeriodicTimer> timer;
  bool stopping = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_ADMIN_TASK_H_
