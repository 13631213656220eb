#include "fireflythread/control/controller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/control/adoption.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/maintenance_schedule.h"
#include "fireflythread/control/moves.h"
#include "fireflythread/control/pool_policy.h"
#include "fireflythread/control/reserve.h"
#include "fireflythread/control/status_report.h"
#include "fireflythread/control/vm_progress.h"
#include "fireflythread/control/wave_step.h"
#include "fireflythread/fleet/fleet_view.h"

namespace fireflythread {
namespace {

auto MakeNonce(const ControllerInputs& inputs, const ControllerMemory& memory)
    -> std::string {
  return "controller/" + std::to_string(inputs.epoch) + "/" +
         std::to_string(memory.steps);
}

}  // namespace

auto RunControllerStep(const ControllerInputs& inputs, ControllerMemory& memory)
    -> ControllerDecision {
  FIREFLYTHREAD_ASSERT(inputs.config != nullptr && inputs.fleet != nullptr,
                       "the configuration and the fleet view are set");
  ControllerDecision decision;
  FleetDraft draft;
  ++memory.steps;
  const PoolPolicies policies = MakePoolPolicies(*inputs.config);
  UpdateDrains(memory.drains, *inputs.fleet, inputs.members, inputs.cell_size,
               inputs.now);
  ProgressVms(inputs, memory, draft, decision);
  AdoptVms(inputs, policies, draft, decision.report);
  AdvanceWaves(inputs, draft);
  DeclareDueWave(inputs, policies, draft);
  FleetSummary summary = SummarizeFleet(inputs, draft);
  const ReservePlan plan = PlanReserve(inputs, policies, summary, memory);
  const WaveLending lending = PlanLending(inputs, policies, summary, draft);
  PlanMoves(policies, plan, lending, summary, draft, decision.report);
  DrainWaveVms(inputs, policies, plan, summary, memory, draft, decision.report);
  FillReport(inputs, memory, policies, plan, summary, draft, decision.report);
  if (HasChanges(draft)) {
    decision.transactions.push_back(
        MakeTransaction(draft, inputs, MakeNonce(inputs, memory)));
  }
  return decision;
}

}  // namespace fireflythread
