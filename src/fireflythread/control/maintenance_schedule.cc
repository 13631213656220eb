#include "fireflythread/control/maintenance_schedule.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

/// A VM is due in the last 1/kDueDivisor of its maintenance interval.
constexpr int kDueDivisor = 4;

/// The VMs of one rack that are due for maintenance.
struct DueRack {
  WallTime earliest_deadline = WallTime::max();
  std::vector<VmId> vms;
};

auto IsActive(const WaveRecord& wave) -> bool {
  return wave.state == WaveState::kDeclared ||
         wave.state == WaveState::kRunning;
}

/// Returns whether a wave is declared or running, with the draft's changes
/// applied, so that waves that finish in this step do not count.
auto AnyActiveWave(const ControllerInputs& inputs, const FleetDraft& draft)
    -> bool {
  return std::any_of(
      inputs.waves.begin(), inputs.waves.end(), [&draft](const auto& item) {
        const auto edited = draft.waves.find(item.first);
        return IsActive(edited == draft.waves.end() ? item.second
                                                    : edited->second);
      });
}

auto IsDue(const VmRecord& record,
           const PoolPolicies& policies,
           WallTime deadline,
           WallTime now) -> bool {
  const PoolPolicy& policy = policies.at(record.pool);
  return record.state == VmState::kServing && record.wave.empty() &&
         now >= deadline - policy.maintenance_interval / kDueDivisor &&
         IsMaintenanceOpen(policy, now);
}

auto FindDueRacks(const ControllerInputs& inputs, const PoolPolicies& policies)
    -> std::map<RackName, DueRack> {
  std::map<RackName, DueRack> racks;
  for (const auto& [vm, record] : inputs.fleet->vms) {
    const auto deadline = MaintenanceDeadline(record, policies);
    if (deadline && IsDue(record, policies, *deadline, inputs.wall_time)) {
      DueRack& rack = racks[record.rack];
      rack.earliest_deadline = std::min(rack.earliest_deadline, *deadline);
      rack.vms.push_back(vm);
    }
  }
  return racks;
}

/// Returns the id of a scheduled wave: its rack and the time in seconds. The id
/// is unique, because no other wave is scheduled while this one is active.
auto ScheduledWaveId(const RackName& rack, WallTime now) -> WaveId {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return WaveId("scheduled-" + (rack.empty() ? "" : rack.value + "-") +
                std::to_string(seconds.time_since_epoch().count()));
}

}  // namespace

auto MaintenanceDeadline(const VmRecord& record, const PoolPolicies& policies)
    -> std::optional<WallTime> {
  const auto policy = policies.find(record.pool);
  if (policy == policies.end() ||
      policy->second.maintenance_interval == std::chrono::seconds::zero()) {
    return std::nullopt;
  }
  return record.maintained_at + policy->second.maintenance_interval;
}

auto CountOverdue(const FleetView& fleet,
                  const PoolPolicies& policies,
                  WallTime now) -> int {
  return static_cast<int>(
      std::count_if(fleet.vms.begin(), fleet.vms.end(), [&](const auto& item) {
        const auto deadline = MaintenanceDeadline(item.second, policies);
        return deadline && *deadline < now;
      }));
}

auto DeclareDueWave(const ControllerInputs& inputs,
                    const PoolPolicies& policies,
                    FleetDraft& draft) -> void {
  if (AnyActiveWave(inputs, draft)) {
    return;
  }
  std::map<RackName, DueRack> racks = FindDueRacks(inputs, policies);
  const auto first = std::min_element(
      racks.begin(), racks.end(), [](const auto& left, const auto& right) {
        return left.second.earliest_deadline < right.second.earliest_deadline;
      });
  if (first == racks.end()) {
    return;
  }
  WaveRecord wave;
  wave.id = ScheduledWaveId(first->first, inputs.wall_time);
  wave.selector.kind = WaveSelectorKind::kVms;
  wave.selector.vms = std::move(first->second.vms);
  wave.declared_by = std::string(kScheduleAuthor);
  wave.declared_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            inputs.wall_time.time_since_epoch())
                            .count();
  draft.waves.emplace(wave.id, wave);
}

}  // namespace fireflythread
