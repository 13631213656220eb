#include "fireflythread/control/reserve.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/shared_reserve.h"

namespace fireflythread {
namespace {

auto PoolSlots(const ControllerInputs& inputs, const PoolPolicy& policy)
    -> double {
  double slots = 0;
  for (const ServiceName& service : policy.services) {
    const auto demand = inputs.demand.find(service);
    if (demand != inputs.demand.end()) {
      slots += SlotsNeeded(demand->second);
    }
  }
  return slots;
}

auto PeakHoldTime(const ControllerInputs& inputs, const PoolPolicy& policy)
    -> Duration {
  return std::chrono::duration_cast<Duration>(
      inputs.limits.peak_hold *
      WeightRatio(policy.weight_moves, policy.weight_buffer));
}

/// Updates the peak and returns it. A peak lasts for one hold time; then the
/// largest need since it began replaces it, so a need counts for at most two
/// hold times.
auto UpdatePeak(PeakNeed& need,
                int now_needed,
                TimePoint now,
                Duration peak_hold) -> int {
  need.recent = std::max(need.recent, now_needed);
  if (now_needed >= need.peak) {
    need = {now_needed, now, now_needed};
  } else if (now - need.since >= peak_hold) {
    need = {need.recent, now, now_needed};
  }
  return need.peak;
}

/// Returns the number of VMs to keep for a recent peak. All VMs are kept while
/// entries have not reported the demand for every service of the pool, and for
/// one hold time after that or after the controller first sees the pool.
auto PlanPeak(const ControllerInputs& inputs,
              const PoolPolicy& policy,
              const PoolState& state,
              int needed,
              ControllerMemory& memory) -> int {
  const int available = static_cast<int>(state.serving.size()) + state.incoming;
  const bool known = std::all_of(policy.services.begin(), policy.services.end(),
                                 [&inputs](const auto& service) {
                                   return inputs.demand.contains(service);
                                 });
  const PeakNeed all{std::max(available, needed), inputs.now, needed, true};
  PeakNeed& need = memory.needs.try_emplace(policy.name, all).first->second;
  if (!known) {
    need = all;
    return need.peak;
  }
  return UpdatePeak(need, needed, inputs.now, PeakHoldTime(inputs, policy));
}

auto CountRacks(const PoolState& pool) -> std::map<RackName, int> {
  std::map<RackName, int> racks;
  for (const VmRecord* record : pool.serving) {
    ++racks[record->rack];
  }
  return racks;
}

/// Limits the VMs that pools keep for a recent peak to the shared reserve in
/// total. Such VMs are idle and can replace lost ones, so they count towards
/// the reserve. Pools with the highest weight for moves relative to buffer keep
/// theirs first. Pools that keep all VMs because their demand is or was unknown
/// are left out, because all their VMs may be in use.
auto LimitPeakSurplus(const PoolPolicies& policies,
                      const ControllerMemory& memory,
                      ReservePlan& plan) -> void {
  std::vector<const PoolPolicy*> ranked_pools;
  for (const auto& [name, policy] : policies) {
    const auto peak = memory.needs.find(name);
    if (!policy.spare && peak != memory.needs.end() &&
        !peak->second.keep_whole_pool) {
      ranked_pools.push_back(&policy);
    }
  }
  std::stable_sort(
      ranked_pools.begin(), ranked_pools.end(),
      [](const PoolPolicy* left, const PoolPolicy* right) {
        return WeightRatio(left->weight_moves, left->weight_buffer) >
               WeightRatio(right->weight_moves, right->weight_buffer);
      });
  int left = plan.reserve;
  for (const PoolPolicy* policy : ranked_pools) {
    PoolNeed& need = plan.pools[policy->name];
    const int base = std::max(need.needed, policy->min_vms);
    const int kept = std::clamp(need.target - base, 0, left);
    need.target = std::min(need.target, base + kept);
    left -= kept;
  }
}

}  // namespace

auto PlanReserve(const ControllerInputs& inputs,
                 const PoolPolicies& policies,
                 const FleetSummary& summary,
                 ControllerMemory& memory) -> ReservePlan {
  ReservePlan plan;
  std::vector<ReservePool> pools;
  for (const auto& [name, policy] : policies) {
    const PoolState& state = summary.pools.at(name);
    PoolNeed& need = plan.pools[name];
    if (!policy.spare) {
      const double slots = PoolSlots(inputs, policy);
      need.needed_without_headroom = VmsNeededWithoutHeadroom(policy, slots);
      need.needed = VmsNeeded(policy, slots);
      need.peak = PlanPeak(inputs, policy, state, need.needed, memory);
      need.target = std::clamp(need.peak, policy.min_vms,
                               std::max(policy.min_vms, policy.max_vms));
    }
    pools.push_back({need.needed, CountRacks(state)});
  }
  const SharedReserve reserve = PlanSharedReserve(pools);
  plan.reserve = reserve.vms;
  plan.limiting_rack = reserve.rack;
  LimitPeakSurplus(policies, memory, plan);
  for (const auto& [name, policy] : policies) {
    if (policy.spare) {
      plan.pools[name].target = plan.reserve;
    }
  }
  return plan;
}

}  // namespace fireflythread
