#include "fireflythread/control/moves.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "fireflythread/control/controller_report.h"
#include "fireflythread/control/fleet_draft.h"
#include "fireflythread/control/fleet_summary.h"
#include "fireflythread/control/reserve.h"

namespace fireflythread {
namespace {

/// The inputs of PlanMoves and the counts that each move updates.
struct MoveContext {
  const PoolPolicies* policies = nullptr;
  const ReservePlan* plan = nullptr;
  const WaveLending* lending = nullptr;
  FleetSummary* summary = nullptr;
  FleetDraft* draft = nullptr;
  ControllerReport* report = nullptr;
  /// Serving VMs by rack over all pools but the spare pool.
  std::map<RackName, int> used;
  /// Serving VMs by pool and rack.
  std::map<PoolName, std::map<RackName, int>> racks;
};

auto CountRacks(MoveContext& context) -> void {
  for (const auto& [name, state] : context.summary->pools) {
    const auto policy = context.policies->find(name);
    const bool spare =
        policy != context.policies->end() && policy->second.spare;
    for (const VmRecord* record : state.serving) {
      ++context.racks[name][record->rack];
      context.used[record->rack] += spare ? 0 : 1;
    }
  }
}

/// Returns the number of VMs that accept work or will do so without a further
/// decision.
auto Available(const PoolState& state) -> int {
  return static_cast<int>(state.serving.size()) + state.incoming;
}

auto NeedOf(const MoveContext& context, const PoolName& pool) -> PoolNeed {
  const auto found = context.plan->pools.find(pool);
  return found == context.plan->pools.end() ? PoolNeed{} : found->second;
}

auto ExtraOf(const MoveContext& context, const PoolName& pool) -> int {
  const auto found = context.lending->extra.find(pool);
  return found == context.lending->extra.end() ? 0 : found->second;
}

/// Returns a sort key; the VM with the lowest is moved. Prefers VMs that no
/// wave still has to drain, and racks that keep the VMs evenly spread, both in
/// the pool that gets the VM and over all pools but the spare pool.
auto MoveRank(const MoveContext& context,
              const VmRecord& record,
              const PoolPolicy& to) -> std::tuple<bool, int, int> {
  const auto count = [&record](const std::map<RackName, int>& racks) {
    const auto found = racks.find(record.rack);
    return found == racks.end() ? 0 : found->second;
  };
  const auto to_racks = context.racks.find(to.name);
  const int in_target =
      to_racks == context.racks.end() ? 0 : count(to_racks->second);
  const int used = count(context.used);
  if (to.spare) {
    return {false, -used, in_target};
  }
  return {context.lending->remaining.contains(record.id), used + in_target,
          in_target};
}

/// Starts the move of the VM with the lowest MoveRank. Returns false when the
/// pool has no serving VM or the step may change no more rows.
auto MoveOne(MoveContext& context, const PoolName& from, const PoolPolicy& to)
    -> bool {
  PoolState& source = context.summary->pools[from];
  const auto best = std::min_element(
      source.serving.begin(), source.serving.end(),
      [&](const VmRecord* left, const VmRecord* right) {
        return MoveRank(context, *left, to) < MoveRank(context, *right, to);
      });
  if (best == source.serving.end() || !CanChange(*context.draft, (*best)->id)) {
    return false;
  }
  const VmRecord& record = **best;
  VmRecord next = record;
  next.state = VmState::kDraining;
  next.next_pool = to.name;
  ChangeVm(*context.draft, record, std::move(next));
  source.serving.erase(best);
  --source.size;
  ++context.summary->pools[to.name].incoming;
  --context.racks[from][record.rack];
  ++context.racks[to.name][record.rack];
  const bool from_spare =
      context.policies->contains(from) && context.policies->at(from).spare;
  context.used[record.rack] += (from_spare ? 1 : 0) - (to.spare ? 1 : 0);
  ++context.report->moves_started;
  return true;
}

auto PoolsByPriority(const PoolPolicies& policies)
    -> std::vector<const PoolPolicy*> {
  std::vector<const PoolPolicy*> pools;
  for (const auto& [name, policy] : policies) {
    if (!policy.spare) {
      pools.push_back(&policy);
    }
  }
  std::stable_sort(pools.begin(), pools.end(),
                   [](const PoolPolicy* left, const PoolPolicy* right) {
                     return left->priority > right->priority;
                   });
  return pools;
}

auto MoveFromSpare(MoveContext& context, const PoolPolicy& to, int keep)
    -> bool {
  return std::any_of(context.policies->begin(), context.policies->end(),
                     [&](const auto& item) {
                       const PoolState& state =
                           context.summary->pools[item.first];
                       return item.second.spare &&
                              static_cast<int>(state.serving.size()) > keep &&
                              MoveOne(context, item.first, to);
                     });
}

constexpr int kHeadroomTier = 0;
constexpr int kPeakTier = 1;
constexpr int kSurplusTier = 2;

/// The VMs that a pool can give to one that lacks VMs. Offers of a higher tier
/// are used first.
struct Offer {
  int tier = kHeadroomTier;
  int vms = 0;
};

/// Returns what `from` can give: first VMs above its target, then VMs that it
/// keeps for a recent peak, then, to a pool of higher priority, its headroom.
auto MakeOffer(const MoveContext& context,
               const PoolPolicy& from,
               const PoolPolicy& to) -> Offer {
  const PoolState& state = context.summary->pools.at(from.name);
  const PoolNeed need = NeedOf(context, from.name);
  const int serving = static_cast<int>(state.serving.size());
  const int beyond_need = serving - std::max({need.needed, from.min_vms, 1});
  const int surplus = serving - need.target - ExtraOf(context, from.name) +
                      state.wave_unavailable;
  if (std::min(surplus, beyond_need) > 0) {
    return {kSurplusTier, std::min(surplus, beyond_need)};
  }
  if (beyond_need > 0) {
    return {kPeakTier, beyond_need};
  }
  const int floor = std::max({need.needed_without_headroom, from.min_vms, 1});
  return {kHeadroomTier, to.priority > from.priority ? serving - floor : 0};
}

/// Moves one VM from the pool with the best offer. Offers below `min_tier`
/// are ignored. Returns false when no VM was moved.
auto MoveFromOtherPool(MoveContext& context, const PoolPolicy& to, int min_tier)
    -> bool {
  const PoolPolicy* best = nullptr;
  std::tuple<int, int, int> best_rank;
  for (const auto& [name, policy] : *context.policies) {
    if (policy.spare || name == to.name) {
      continue;
    }
    const Offer offer = MakeOffer(context, policy, to);
    const std::tuple<int, int, int> rank = {offer.tier, -policy.priority,
                                            offer.vms};
    if (offer.vms > 0 && offer.tier >= min_tier &&
        (best == nullptr || rank > best_rank)) {
      best = &policy;
      best_rank = rank;
    }
  }
  return best != nullptr && MoveOne(context, best->name, to);
}

auto HasFreeCapacity(const MoveContext& context, const PoolPolicy& policy)
    -> bool {
  const PoolState& state = context.summary->pools.at(policy.name);
  return state.size + state.incoming < policy.max_vms;
}

/// Returns how many VMs the pool lacks for its demand or for `min_vms`,
/// whichever is more.
auto Shortage(const MoveContext& context, const PoolPolicy& policy) -> int {
  const PoolState& state = context.summary->pools.at(policy.name);
  const int for_demand = NeedOf(context, policy.name).needed - Available(state);
  const int for_size =
      policy.min_vms - Available(state) - state.wave_unavailable;
  return std::max(for_demand, for_size);
}

/// Returns whether the reserve must be in the spare pool, whose VMs are idle
/// and therefore drain at once. Otherwise idle VMs of any pool count towards
/// the reserve, which saves moving them to the spare pool and back.
auto KeepsReserveInSpare(const PoolPolicy& policy) -> bool {
  return policy.weight_buffer > policy.weight_moves;
}

/// Moves one VM from the best source into the pool. A reserve that must be in
/// the spare pool is used only after the idle VMs of other pools, so that it
/// need not be refilled. Returns false when no source has a VM.
auto AddOne(MoveContext& context, const PoolPolicy& policy) -> bool {
  const int keep = KeepsReserveInSpare(policy) ? context.plan->reserve : 0;
  return MoveFromSpare(context, policy, keep) ||
         MoveFromOtherPool(context, policy, kPeakTier) ||
         MoveFromSpare(context, policy, /*keep=*/0) ||
         MoveFromOtherPool(context, policy, kHeadroomTier);
}

auto FillShortage(MoveContext& context, const PoolPolicy& policy) -> void {
  int shortage = Shortage(context, policy);
  while (shortage > 0 && HasFreeCapacity(context, policy) &&
         AddOne(context, policy)) {
    --shortage;
  }
  context.report->pools[policy.name].missing = std::max(0, shortage);
}

auto LendForWave(MoveContext& context, const PoolPolicy& policy, int keep)
    -> void {
  const int extra = ExtraOf(context, policy.name);
  if (extra == 0) {
    return;
  }
  const PoolState& state = context.summary->pools[policy.name];
  int wanted = NeedOf(context, policy.name).needed + extra - Available(state) -
               state.wave_unavailable;
  // A wave that could otherwise drain no VM at all may borrow one VM of the
  // reserve; without it the wave would never finish.
  const bool stuck = context.summary->wave_unavailable.empty() &&
                     Available(state) <= NeedOf(context, policy.name).needed;
  int keep_now = stuck ? 0 : keep;
  while (wanted > 0 && HasFreeCapacity(context, policy) &&
         (MoveFromSpare(context, policy, keep_now) ||
          MoveFromOtherPool(context, policy, kSurplusTier))) {
    keep_now = keep;
    --wanted;
  }
}

/// Moves VMs above the pool's target into the spare pool until it holds the
/// reserve. A pool with a running wave keeps them, because a smaller pool may
/// have fewer VMs unavailable at once.
auto ReleaseSurplus(MoveContext& context,
                    const PoolPolicy& policy,
                    const PoolPolicy& spare) -> void {
  if (!KeepsReserveInSpare(policy) || ExtraOf(context, policy.name) > 0) {
    return;
  }
  const PoolState& state = context.summary->pools[policy.name];
  int surplus = Available(state) + state.wave_unavailable -
                NeedOf(context, policy.name).target;
  while (surplus > 0 && HasFreeCapacity(context, spare) &&
         Available(context.summary->pools[spare.name]) <
             context.plan->reserve &&
         MoveOne(context, policy.name, spare)) {
    --surplus;
  }
}

}  // namespace

auto ReserveKeptFromWaves(const PoolPolicies& policies, const ReservePlan& plan)
    -> int {
  const bool keep =
      std::any_of(policies.begin(), policies.end(), [](const auto& item) {
        return item.second.spare &&
               item.second.weight_buffer > item.second.weight_rollout;
      });
  return keep ? plan.reserve : 0;
}

auto PlanMoves(const PoolPolicies& policies,
               const ReservePlan& plan,
               const WaveLending& lending,
               FleetSummary& summary,
               FleetDraft& draft,
               ControllerReport& report) -> void {
  MoveContext context{&policies, &plan,   &lending, &summary,
                      &draft,    &report, {},       {}};
  CountRacks(context);
  const std::vector<const PoolPolicy*> pools = PoolsByPriority(policies);
  for (const PoolPolicy* policy : pools) {
    FillShortage(context, *policy);
  }
  const int keep = ReserveKeptFromWaves(policies, plan);
  for (const PoolPolicy* policy : pools) {
    LendForWave(context, *policy, keep);
  }
  const auto spare =
      std::find_if(policies.begin(), policies.end(),
                   [](const auto& item) { return item.second.spare; });
  if (spare == policies.end()) {
    return;
  }
  for (auto pool = pools.rbegin(); pool != pools.rend(); ++pool) {
    ReleaseSurplus(context, **pool, spare->second);
  }
}

}  // namespace fireflythread
