#include "standin/platform/vm_registry.h"

#include <utility>

#include "fireflythread/base/io_clock.h"
#include "standin/common/main_loop.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

/// Snapshots kept for the lag; more changes than this in the lag are merged.
constexpr std::size_t kMaxSnapshots = 2000;

}  // namespace

VmRegistry::VmRegistry(std::vector<VmEntry> entries,
                       std::function<void(const std::string&)> on_lost)
    : lost(std::move(on_lost)) {
  for (VmEntry& entry : entries) {
    const std::string id = entry.id;
    this->vms[id] = {.entry = std::move(entry)};
  }
  this->Publish();
}

auto VmRegistry::Publish() -> void {
  Json list = Json::array();
  for (const auto& [id, vm] : this->vms) {
    if (!vm.stopped) {
      list.push_back({{"id", id},
                      {"address", vm.entry.address},
                      {"zone", vm.entry.zone},
                      {"rack", vm.entry.rack},
                      {"leaving", vm.leaving || vm.rebooting},
                      {"cores", vm.entry.cores},
                      {"memory_mb", vm.entry.memory_mb},
                      {"accelerators", vm.entry.accelerators}});
    }
  }
  this->snapshots.push_back(
      {.time = ReadBootClock(), .version = ++this->version, .vms = list});
  if (this->snapshots.size() > kMaxSnapshots) {
    this->snapshots.pop_front();
  }
}

auto VmRegistry::VisibleList(std::uint64_t since,
                             std::chrono::milliseconds lag) const -> Json {
  const TimePoint limit = ReadBootClock() - lag;
  auto visible = this->snapshots.begin();
  for (auto next = visible; next != this->snapshots.end(); ++next) {
    if (next->time <= limit) {
      visible = next;
    }
  }
  const bool changed = since != visible->version;
  return {{"version", visible->version},
          {"changed", changed},
          {"vms", changed ? visible->vms : Json::array()}};
}

auto VmRegistry::IsUp(const std::string& id) const -> bool {
  const auto vm = this->vms.find(id);
  return vm != this->vms.end() && !vm->second.rebooting && !vm->second.stopped;
}

auto VmRegistry::Command(const std::string& id,
                         const std::string& command,
                         std::uint64_t fence) -> CommandResult {
  const auto found = this->vms.find(id);
  if (found == this->vms.end()) {
    return CommandResult::kUnknownVm;
  }
  const bool known = command == "drain" || command == "undrain" ||
                     command == "reboot" || command == "stop";
  if (!known) {
    return CommandResult::kUnknownCommand;
  }
  const bool stale = fence < this->highest_fence;
  this->commands.push_back(
      {{"vm", id},
       {"command", command},
       {"fence", fence},
       {"stale", stale},
       {"time_ns", ReadBootClock().time_since_epoch().count()}});
  if (stale) {
    return CommandResult::kStaleFence;
  }
  this->highest_fence = fence;
  if (command == "reboot") {
    this->Reboot(found->second);
  } else if (command == "stop") {
    this->Stop(id);
  } else {
    this->commander.Send(found->second.entry, command, Json::object());
  }
  return CommandResult::kTaken;
}

auto VmRegistry::Reboot(Vm& vm) -> void {
  if (vm.rebooting || vm.stopped) {
    return;
  }
  vm.rebooting = true;
  ++vm.reboots;
  this->Publish();
  this->lost(vm.entry.id);
  this->commander.Send(vm.entry, "reboot",
                       {{"duration_ms", this->reboot_time.count()}});
  RunLater(this->reboot_time, [this, id = vm.entry.id] {
    this->vms[id].rebooting = false;
    this->Publish();
  });
}

auto VmRegistry::Stop(const std::string& id) -> void {
  Vm& vm = this->vms[id];
  if (vm.stopped) {
    return;
  }
  vm.stopped = true;
  this->Publish();
  this->lost(id);
  this->commander.Send(vm.entry, "stop", Json::object());
}

auto VmRegistry::Leave(const std::string& id, std::chrono::milliseconds grace)
    -> void {
  const auto found = this->vms.find(id);
  if (found == this->vms.end() || found->second.leaving) {
    return;
  }
  found->second.leaving = true;
  this->Publish();
  RunLater(grace, [this, id] {
    if (this->vms[id].leaving) {
      this->Stop(id);
    }
  });
}

auto VmRegistry::Return(const std::string& id) -> void {
  const auto found = this->vms.find(id);
  if (found == this->vms.end()) {
    return;
  }
  found->second.leaving = false;
  found->second.stopped = false;
  this->Publish();
  this->commander.Send(found->second.entry, "start", Json::object());
}

auto VmRegistry::TrueState() const -> Json {
  Json list = Json::array();
  for (const auto& [id, vm] : this->vms) {
    list.push_back({{"id", id},
                    {"rebooting", vm.rebooting},
                    {"stopped", vm.stopped},
                    {"leaving", vm.leaving},
                    {"reboots", vm.reboots}});
  }
  return {{"vms", list}, {"commands", this->commands}};
}

}  // namespace fireflythread::standin
