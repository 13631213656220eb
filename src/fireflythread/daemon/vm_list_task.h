#ifndef FIREFLYTHREAD_DAEMON_VM_LIST_TASK_H_
#define FIREFLYTHREAD_DAEMON_VM_LIST_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/listed_vm.h"
#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

/// Polls the platform's VM list and keeps the set of VMs that are leaving, by
/// this entry's own reads and by its peers' notices.
class VmListTask {
 public:
  /// `leaving_changed` gets the whole set; `notify_peers` the newest list's
  /// leaving VMs when the list changed.
  VmListTask(const DaemonSettings& settings,
             PlatformClient& platform,
             std::function<void(std::set<VmId>)> leaving_changed,
             std::function<void(std::uint64_t, std::set<VmId>)> notify_peers);

  auto Start() -> void;
  /// Takes a peer's notice; an older list than the own one has no effect.
  auto HandleNotice(std::uint64_t list_version, std::set<VmId> vms) -> void;
  /// No value until the list has been read.
  [[nodiscard]] auto List() const
      -> const std::optional<std::vector<ListedVm>>&;

 private:
  auto Poll() -> void;
  auto Update(std::uint64_t version, std::set<VmId> vms) -> void;

  const DaemonSettings& settings;
  PlatformClient& platform;
  std::function<void(std::set<VmId>)> leaving_changed;
  std::function<void(std::uint64_t, std::set<VmId>)> notify_peers;
  std::optional<std::vector<ListedVm>> list;
  std::uint64_t list_version = 0;
  std::uint64_t leaving_version = 0;
  std::set<VmId> leaving;
  bool reading = false;
  std::unique_ptr<PeriodicTimer> timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_VM_LIST_TASK_H_
