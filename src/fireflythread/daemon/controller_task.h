#ifndef FIREFLYTHREAD_DAEMON_CONTROLLER_TASK_H_
#define FIREFLYTHREAD_DAEMON_CONTROLLER_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/daemon/vm_prober.h"
#include "fireflythread/lease/lease_settings.h"
#include "fireflythread/lease/lease_state.h"
#include "fireflythread/lease/lease_step.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

class Logger;
class LongTaskScheduler;
class PlatformClient;
class RegistrationTask;
class RetentionTask;
class StateTask;
class VmListTask;
struct PeerMessage;

/// Takes part in the controller lease and, while this entry holds it, decides
/// on the fleet and carries the decisions out.
class ControllerTask {
 public:
  struct Dependencies {
    const DaemonSettings& settings;
    PlatformClient& platform;
    const Logger& logger;
    StateTask& state;
    const RegistrationTask& registration;
    const VmListTask& vm_list;
  };

  ControllerTask(Dependencies dependencies, std::uint64_t incarnation);
  ~ControllerTask();
  ControllerTask(const ControllerTask&) = delete;
  auto operator=(const ControllerTask&) -> ControllerTask& = delete;

  auto Start() -> void;
  /// Releases the lease and calls back, also when the store is down.
  auto Stop(std::function<void()> done) -> void;

  /// Takes drain acknowledgements and demand reports, this entry's own too.
  auto HandlePeer(const PeerMessage& message) -> void;

  /// The entry that holds the lease as far as this entry knows.
  [[nodiscard]] auto Holder() const -> std::optional<EntryId>;
  [[nodiscard]] auto IsController() const -> bool;
  /// The condition of the controller's writes; no value on other entries.
  [[nodiscard]] auto Fence() const -> std::optional<Condition>;
  [[nodiscard]] auto Epoch() const -> std::uint64_t;
  /// Time since the lease row was last seen to change.
  [[nodiscard]] auto SinceRenewal() const -> Duration;
  [[nodiscard]] auto Memory() const -> const ControllerMemory&;
  /// The latest report; no value when this entry is not the controller.
  [[nodiscard]] auto Report() const -> const std::optional<ControllerReport>&;
  /// The inputs of the next step, for planning a wave without changes.
  [[nodiscard]] auto Inputs() const -> ControllerInputs;

 private:
  struct EntryDemand;

  auto Tick() -> void;
  auto HandleLeaseStep(LeaseStep step) -> void;
  auto ReadLease() -> void;
  auto BeginTerm() -> void;
  auto EndTerm() -> void;
  auto ReadWaves() -> void;
  auto Decide() -> void;
  auto ProbeVms() -> void;
  auto CommitDecision(Transaction transaction) -> void;
  auto SendCommands(const std::vector<VmCommand>& commands) -> void;
  auto MembersNow(TimePoint now) const -> std::map<EntryId, MemberState>;
  auto TakeDemand(const EntryId& entry, const peer::DemandReport& report)
      -> void;

  Dependencies deps;
  LeaseState lease;
  LeaseSettings lease_settings;
  ControllerMemory memory;
  VmProber prober;
  std::unique_ptr<LongTaskScheduler> tasks;
  std::unique_ptr<RetentionTask> retention;
  std::map<WaveId, WaveRecord> waves;
  std::map<EntryId, EntryDemand> demand;
  std::optional<ControllerReport> report;
  std::optional<TimePoint> term_began;
  bool reading_lease = false;
  bool reading_waves = false;
  /// False until the wave rows were read after this entry's last commit.
  bool waves_current = false;
  std::uint64_t wave_read_number = 0;
  std::unique_ptr<PeriodicTimer> timer;
  std::function<void()> stopped;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CONTROLLER_TASK_H_
