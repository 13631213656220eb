#ifndef STANDIN_PLATFORM_VM_REGISTRY_H_
#define STANDIN_PLATFORM_VM_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "standin/common/vm_entry.h"
#include "standin/platform/backend_commander.h"

namespace fireflythread::standin {

/// The platform's VMs, the commands to them, and the list that lags behind.
class VmRegistry {
 public:
  enum class CommandResult { kTaken, kUnknownVm, kUnknownCommand, kStaleFence };

  /// `on_lost` is called with the id of a VM when what runs on it is lost.
  VmRegistry(std::vector<VmEntry> entries,
             std::function<void(const std::string&)> on_lost);

  auto Command(const std::string& id,
               const std::string& command,
               std::uint64_t fence) -> CommandResult;
  /// The platform takes a VM away by itself, after a grace time.
  auto Leave(const std::string& id, std::chrono::milliseconds grace) -> void;
  /// Brings a stopped VM back.
  auto Return(const std::string& id) -> void;

  /// The list as it was `lag` ago, in the shape of the API.
  [[nodiscard]] auto VisibleList(std::uint64_t since,
                                 std::chrono::milliseconds lag) const
      -> nlohmann::json;
  /// True if the VM exists and is neither rebooting nor stopped.
  [[nodiscard]] auto IsUp(const std::string& id) const -> bool;
  /// All VMs with their true state and all commands taken, for tests.
  [[nodiscard]] auto TrueState() const -> nlohmann::json;

  auto SetRebootTime(std::chrono::milliseconds duration) -> void {
    this->reboot_time = duration;
  }

 private:
  struct Vm {
    VmEntry entry;
    bool rebooting = false;
    bool stopped = false;
    bool leaving = false;
    int reboots = 0;
  };
  struct Snapshot {
    TimePoint time;
    std::uint64_t version = 0;
    nlohmann::json vms;
  };

  auto Publish() -> void;
  auto Reboot(Vm& vm) -> void;
  auto Stop(const std::string& id) -> void;

  std::map<std::string, Vm> vms;
  std::deque<Snapshot> snapshots;
  nlohmann::json commands = nlohmann::json::array();
  std::function<void(const std::string&)> lost;
  BackendCommander commander;
  std::uint64_t version = 0;
  std::uint64_t highest_fence = 0;
  std::chrono::milliseconds reboot_time{3000};
};

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_VM_REGISTRY_H_
