#include "fireflythread/control/status_report.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/reserve.h"
#include "fireflythread/control/wave_step.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

constexpr std::array<std::string_view, 5> kBudgetNames = {
    "max-unavailable", "headroom", "window", "availability", "reserve"};

/// Returns the estimated time until a running wave finishes. Each pool needs as
/// many rounds as its remaining VMs divided by the number of VMs that may be
/// unavailable at once; the pool with the most rounds determines the time.
auto ExpectedTime(const ControllerInputs& inputs,
                  const ControllerMemory& memory,
                  const PoolPolicies& policies,
                  const FleetSummary& summary,
                  const WaveRecord& wave) -> Duration {
  std::map<PoolName, int> remaining;
  for (const VmId& vm : wave.remaining) {
    const auto found = inputs.fleet->vms.find(vm);
    if (found != inputs.fleet->vms.end()) {
      ++remaining[found->second.pool];
    }
  }
  int rounds = 0;
  for (const auto& [pool, vms] : remaining) {
    const auto policy = policies.find(pool);
    const auto state = summary.pools.find(pool);
    if (policy != policies.end() && state != summary.pools.end()) {
      const int max_unavailable_vms =
          MaxUnavailableVms(policy->second, state->second.size);
      rounds = std::max(rounds,
                        (vms + max_unavailable_vms - 1) / max_unavailable_vms);
    }
  }
  return memory.maintenance_time * rounds;
}

auto MakeWaveStatus(const WaveRecord& wave, const FleetSummary& summary)
    -> WaveStatus {
  WaveStatus status;
  status.state = wave.state;
  status.remaining = static_cast<int>(wave.remaining.size());
  status.done = static_cast<int>(wave.done.size());
  status.failed = static_cast<int>(wave.failed.size());
  const auto out = summary.wave_unavailable.find(wave.id);
  status.out = out == summary.wave_unavailable.end() ? 0 : out->second;
  return status;
}

auto FillPools(const ReservePlan& plan,
               const FleetSummary& summary,
               ControllerReport& report) -> void {
  for (const auto& [name, state] : summary.pools) {
    PoolStatus& status = report.pools[name];
    status.vms = state.size;
    status.serving = static_cast<int>(state.serving.size());
    status.incoming = state.incoming;
    const auto need = plan.pools.find(name);
    if (need != plan.pools.end()) {
      status.needed = need->second.needed;
      status.target = need->second.target;
    }
  }
}

}  // namespace

auto WaveBudgetName(WaveBudget budget) -> std::string_view {
  return kBudgetNames.at(static_cast<std::size_t>(budget));
}

auto FillReport(const ControllerInputs& inputs,
                const ControllerMemory& memory,
                const PoolPolicies& policies,
                const ReservePlan& plan,
                const FleetSummary& summary,
                const FleetDraft& draft,
                ControllerReport& report) -> void {
  FillPools(plan, summary, report);
  for (const auto& [id, wave] : inputs.waves) {
    const auto edited = draft.waves.find(id);
    const WaveRecord& current =
        edited == draft.waves.end() ? wave : edited->second;
    WaveStatus& status = report.waves[id];
    status = MakeWaveStatus(current, summary);
    if (current.state == WaveState::kRunning) {
      status.expected =
          ExpectedTime(inputs, memory, policies, summary, current);
    }
  }
  for (const auto& [vm, fault] : inputs.faults) {
    report.ejected.push_back({vm, fault.reason});
  }
}

}  // namespace fireflythread
