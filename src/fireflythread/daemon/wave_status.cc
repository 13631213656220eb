#include "fireflythread/daemon/wave_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "fireflythread/daemon/wave_selection.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

auto StateOf(const WaveRecord& wave, bool controller_known)
    -> admin::WaveState {
  switch (wave.state) {
    case WaveState::kDeclared:
      return admin::WaveState::kDeclared;
    case WaveState::kRunning:
      // Without a controller nobody advances the wave.
      return controller_known ? admin::WaveState::kRunning
                              : admin::WaveState::kPaused;
    case WaveState::kFinished:
      return admin::WaveState::kDone;
    case WaveState::kCancelled:
      return admin::WaveState::kCancelled;
  }
  return admin::WaveState::kDeclared;
}

}  // namespace

auto DescribeBlocked(const BlockedVm& blocked) -> std::string {
  return fmt::format("{} of pool {}", WaveBudgetName(blocked.budget),
                     blocked.pool.value);
}

auto BuildWaveStatus(const WaveRecord& wave,
                     const FleetView& fleet,
                     const std::optional<ControllerReport>& report,
                     WallTime now) -> admin::WaveStatus {
  admin::WaveStatus status;
  status.id = wave.id;
  status.selector = ToAdminSelector(wave.selector);
  status.state = StateOf(wave, report.has_value());
  status.declared_by = wave.declared_by;
  status.declared_at = WallTime(std::chrono::milliseconds(wave.declared_at_ms));
  status.vms_done = static_cast<int>(wave.done.size());
  status.vms_failed = static_cast<int>(wave.failed.size());
  std::set<VmId> all(wave.remaining.begin(), wave.remaining.end());
  for (const auto& [id, vm] : fleet.vms) {
    if (vm.wave == wave.id) {
      ++status.vms_in_progress;
      all.insert(id);
    }
  }
  all.insert(wave.done.begin(), wave.done.end());
  all.insert(wave.failed.begin(), wave.failed.end());
  status.vms_total = static_cast<int>(all.size());
  if (!report) {
    return status;
  }
  const auto progress = report->waves.find(wave.id);
  if (progress != report->waves.end() && wave.state == WaveState::kRunning) {
    status.expected_end = now + std::chrono::duration_cast<WallTime::duration>(
                                    progress->second.expected);
  }
  for (const BlockedVm& blocked : report->blocked) {
    if (blocked.wave == wave.id) {
      status.blocked.push_back({blocked.vm, DescribeBlocked(blocked)});
    }
  }
  return status;
}

}  // namespace fireflythread
