#include "fireflythread/daemon/vm_list_task.h"

#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/platform/platform_client.h"

namespace fireflythread {

VmListTask::VmListTask(
    const DaemonSettings& daemon_settings,
    PlatformClient& platform_client,
    std::function<void(std::set<VmId>)> leaving_callback,
    std::function<void(std::uint64_t, std::set<VmId>)> notice_callback)
    : settings(daemon_settings),
      platform(platform_client),
      leaving_changed(std::move(leaving_callback)),
      notify_peers(std::move(notice_callback)) {}

auto VmListTask::Start() -> void {
  this->timer = std::make_unique<PeriodicTimer>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->settings.platform.vm_list_poll),
      [this] { this->Poll(); });
  this->Poll();
}

auto VmListTask::List() const -> const std::optional<std::vector<ListedVm>>& {
  return this->list;
}

auto VmListTask::Poll() -> void {
  if (this->reading) {
    return;
  }
  this->reading = true;
  this->platform.ListVms(
      this->list_version, this->settings.platform.read_timeout,
      [this](auto result) {
        this->reading = false;
        auto* read = std::get_if<VmListResult>(&result);
        if (read == nullptr || !read->changed) {
          return;
        }
        std::set<VmId> now_leaving;
        for (const ListedVm& vm : read->vms) {
          if (vm.leaving) {
            now_leaving.insert(vm.id);
          }
        }
        this->list_version = read->version;
        this->list = std::move(read->vms);
        this->notify_peers(this->list_version, now_leaving);
        this->Update(this->list_version, std::move(now_leaving));
      });
}

auto VmListTask::HandleNotice(std::uint64_t version, std::set<VmId> vms)
    -> void {
  this->Update(version, std::move(vms));
}

auto VmListTask::Update(std::uint64_t version, std::set<VmId> vms) -> void {
  if (version < this->leaving_version) {
    return;
  }
  this->leaving_version = version;
  if (vms != this->leaving) {
    this->leaving = std::move(vms);
    this->leaving_changed(this->leaving);
  }
}

}  // namespace fireflythread
