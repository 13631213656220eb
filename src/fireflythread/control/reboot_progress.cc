#include "fireflythread/control/reboot_progress.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "fireflythread/control/controller_decision.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/fleet_draft.h"

namespace fireflythread {
namespace {

auto FindProbe(const ControllerInputs& inputs, const VmId& vm)
    -> const VmProbe* {
  const auto found = inputs.probes.find(vm);
  return found == inputs.probes.end() ? nullptr : &found->second;
}

auto SendCommand(const ControllerInputs& inputs,
                 VmTimer& timer,
                 const VmId& vm,
                 VmCommandKind kind,
                 ControllerDecision& decision) -> void {
  if (timer.last_command.has_value() &&
      inputs.now - *timer.last_command < inputs.limits.command_interval) {
    return;
  }
  timer.last_command = inputs.now;
  decision.commands.push_back({vm, kind, inputs.epoch});
}

auto FailVm(const ControllerInputs& inputs,
            ControllerMemory& memory,
            const VmRecord& record,
            const std::string& cause,
            FleetDraft& draft) -> void {
  const auto limit = std::chrono::duration_cast<std::chrono::seconds>(
      inputs.limits.reboot_timeout);
  VmRecord next = record;
  next.state = VmState::kFailed;
  next.reason = cause + " (limit " + std::to_string(limit.count()) + " s)";
  next.wave = WaveId();
  RecordWaveResult(inputs, record, /*succeeded=*/false, draft);
  memory.unavailable_since.erase(record.id);
  ChangeVm(draft, record, std::move(next));
}

auto HasRebooted(const VmRecord& record, const VmProbe& probe) -> bool {
  if (!record.boot.empty() && !probe.boot.empty()) {
    return record.boot != probe.boot;
  }
  return !probe.answering;
}

/// Updates the moving average of the maintenance time, from which the expected
/// duration of waves is computed.
auto RecordMaintenanceTime(const ControllerInputs& inputs,
                           ControllerMemory& memory,
                           const VmId& vm) -> void {
  constexpr int kSmoothing = 8;
  const auto started = memory.unavailable_since.find(vm);
  if (started != memory.unavailable_since.end()) {
    memory.maintenance_time +=
        (inputs.now - started->second - memory.maintenance_time) / kSmoothing;
    memory.unavailable_since.erase(started);
  }
}

}  // namespace

auto BeginReboot(const ControllerInputs& inputs,
                 const VmRecord& record,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void {
  decision.commands.push_back({record.id, VmCommandKind::kDrain, inputs.epoch});
  VmRecord next = record;
  next.state = VmState::kRebooting;
  const VmProbe* probe = FindProbe(inputs, record.id);
  next.boot = probe == nullptr ? "" : probe->boot;
  ChangeVm(draft, record, std::move(next));
}

auto StepRebooting(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void {
  VmTimer& timer = memory.timers[record.id];
  const VmProbe* probe = FindProbe(inputs, record.id);
  if (leaving || (probe != nullptr && HasRebooted(record, *probe))) {
    VmRecord next = record;
    next.state = VmState::kVerifying;
    ChangeVm(draft, record, std::move(next));
  } else if (inputs.now - timer.since >= inputs.limits.reboot_timeout) {
    FailVm(inputs, memory, record, "the VM did not reboot", draft);
  } else {
    SendCommand(inputs, timer, record.id, VmCommandKind::kReboot, decision);
  }
}

auto StepVerifying(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void {
  VmTimer& timer = memory.timers[record.id];
  const VmProbe* probe = FindProbe(inputs, record.id);
  const bool answering = probe != nullptr && probe->answering;
  if (answering && !leaving &&
      inputs.now - probe->since >= inputs.limits.verify &&
      inputs.now - timer.since >= inputs.limits.verify) {
    VmRecord next = record;
    next.state = VmState::kServing;
    next.wave = WaveId();
    next.boot.clear();
    next.reason.clear();
    next.maintained_at =
        std::chrono::floor<std::chrono::milliseconds>(inputs.wall_time);
    RecordWaveResult(inputs, record, /*succeeded=*/true, draft);
    RecordMaintenanceTime(inputs, memory, record.id);
    ChangeVm(draft, record, std::move(next));
  } else if (inputs.now - timer.since >= inputs.limits.reboot_timeout) {
    FailVm(inputs, memory, record,
           leaving ? "the VM list still showed the VM as leaving"
                   : "the VM did not pass health probes after its reboot",
           draft);
  } else if (answering) {
    SendCommand(inputs, timer, record.id, VmCommandKind::kUndrain, decision);
  }
}

auto RecordWaveResult(const ControllerInputs& inputs,
                      const VmRecord& record,
                      bool succeeded,
                      FleetDraft& draft) -> void {
  if (record.wave.empty()) {
    return;
  }
  WaveRecord* wave = EditWave(draft, inputs, record.wave);
  if (wave != nullptr) {
    std::erase(wave->remaining, record.id);
    (succeeded ? wave->done : wave->failed).push_back(record.id);
  }
}

}  // namespace fireflythread
