#include "fireflythread/control/pool_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/control/maintenance_clock.h"

namespace fireflythread {
namespace {

/// Subtracted before rounding up, so that a floating-point error does not add a
/// VM to a demand that fits exactly.
constexpr double kRoundingTolerance = 1e-9;

auto AddWeights(PoolPolicy& policy, const Profile& profile) -> void {
  policy.weight_buffer = std::max(policy.weight_buffer, profile.weight_buffer);
  policy.weight_rollout =
      std::max(policy.weight_rollout, profile.weight_rollout);
  policy.weight_moves = std::max(policy.weight_moves, profile.weight_moves);
}

auto AddInterval(PoolPolicy& policy, std::chrono::seconds interval) -> void {
  if (interval > std::chrono::seconds::zero()) {
    policy.maintenance_interval =
        policy.maintenance_interval == std::chrono::seconds::zero()
            ? interval
            : std::min(policy.maintenance_interval, interval);
  }
}

auto AddService(PoolPolicy& policy,
                const ServiceName& service,
                const Profile& profile) -> void {
  policy.services.push_back(service);
  policy.headroom = std::max(policy.headroom, profile.headroom);
  policy.max_unavailable =
      std::min(policy.max_unavailable, profile.max_unavailable);
  policy.availability = std::max(policy.availability, profile.availability);
  policy.priority = std::max(policy.priority, profile.priority);
  if (!profile.windows.empty()) {
    policy.windows.push_back(profile.windows);
  }
  AddWeights(policy, profile);
  AddInterval(policy, profile.maintenance_interval);
}

auto ProfileOf(const ConfigSnapshot& config, const ServiceSpec& service)
    -> Profile {
  const auto found = config.profiles.find(service.profile);
  return found == config.profiles.end() ? Profile{} : found->second;
}

auto CeilVms(double slots, int slots_per_worker) -> int {
  return static_cast<int>(
      std::ceil(slots / std::max(1, slots_per_worker) - kRoundingTolerance));
}

}  // namespace

auto MakePoolPolicies(const ConfigSnapshot& config) -> PoolPolicies {
  PoolPolicies policies;
  for (const auto& [name, spec] : config.pools) {
    PoolPolicy& policy = policies[name];
    policy.name = name;
    policy.spare = spec.spare;
    policy.min_vms = spec.min_vms;
    policy.max_vms = spec.max_vms;
    policy.slots_per_worker = spec.slots_per_worker;
  }
  PoolPolicy all;
  for (const auto& [name, service] : config.services) {
    const Profile profile = ProfileOf(config, service);
    AddWeights(all, profile);
    AddInterval(all, profile.maintenance_interval);
    const auto found = policies.find(service.pool);
    if (found != policies.end()) {
      AddService(found->second, name, profile);
    }
  }
  for (auto& [name, policy] : policies) {
    if (policy.services.empty()) {
      policy.weight_buffer = all.weight_buffer;
      policy.weight_rollout = all.weight_rollout;
      policy.weight_moves = all.weight_moves;
      policy.maintenance_interval = all.maintenance_interval;
    }
  }
  return policies;
}

auto IsMaintenanceOpen(const PoolPolicy& policy, WallTime time) -> bool {
  return std::all_of(policy.windows.begin(), policy.windows.end(),
                     [time](const std::vector<MaintenanceWindow>& windows) {
                       return IsWindowOpen(windows, time);
                     });
}

auto TimeUntilMaintenance(const PoolPolicy& policy, WallTime time) -> Duration {
  // Windows begin on whole minutes and repeat weekly, so a search in steps of a
  // minute over more than a week finds the next opening.
  constexpr std::chrono::minutes kMaxSearchTime = std::chrono::days(9);
  if (IsMaintenanceOpen(policy, time)) {
    return Duration::zero();
  }
  WallTime next = std::chrono::floor<std::chrono::minutes>(time);
  do {
    next += std::chrono::minutes(1);
  } while (next - time < kMaxSearchTime && !IsMaintenanceOpen(policy, next));
  return next - time;
}

auto VmsNeeded(const PoolPolicy& policy, double slots) -> int {
  return CeilVms(slots * (1 + policy.headroom), policy.slots_per_worker);
}

auto VmsNeededWithoutHeadroom(const PoolPolicy& policy, double slots) -> int {
  return CeilVms(slots, policy.slots_per_worker);
}

auto WeightRatio(double weight, double other) -> double {
  constexpr double kMaxRatio = 5;
  constexpr double kEpsilon = 1e-6;
  return std::clamp((weight + kEpsilon) / (other + kEpsilon), 1 / kMaxRatio,
                    kMaxRatio);
}

}  // namespace fireflythread
