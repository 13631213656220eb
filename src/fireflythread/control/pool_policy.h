#ifndef FIREFLYTHREAD_CONTROL_POOL_POLICY_H_
#define FIREFLYTHREAD_CONTROL_POOL_POLICY_H_

#include <chrono>
#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/config/maintenance_window.h"

namespace fireflythread {

/// The combined requirements of a pool's services: the strictest limits and the
/// largest weights of their profiles.
struct PoolPolicy {
  PoolName name;
  bool spare = false;
  int min_vms = 1;
  int max_vms = 1000;
  int slots_per_worker = 8;
  double headroom = 0;
  double max_unavailable = 1;
  double availability = 0;
  int priority = 0;
  double weight_buffer = 0;
  double weight_rollout = 0;
  double weight_moves = 0;
  /// The shortest maintenance interval of the services' profiles; 0 when none
  /// has an interval.
  std::chrono::seconds maintenance_interval{0};
  std::vector<ServiceName> services;
  /// The maintenance windows of each service that has any. Maintenance is
  /// allowed while each of these services has an open window.
  std::vector<std::vector<MaintenanceWindow>> windows;
};

using PoolPolicies = std::map<PoolName, PoolPolicy>;

/// Returns the policies of all pools of a configuration. A pool without
/// services, such as the spare pool, gets the largest weights and the shortest
/// maintenance interval of all services. A service whose profile is missing
/// uses the default profile.
[[nodiscard]] auto MakePoolPolicies(const ConfigSnapshot& config)
    -> PoolPolicies;

/// Returns whether the maintenance windows of all services of the pool are
/// open.
[[nodiscard]] auto IsMaintenanceOpen(const PoolPolicy& policy, WallTime time)
    -> bool;

/// Returns the time until the windows of all services are open, or 0 when they
/// are open now. The search ends after nine days; the result is then at least
/// nine days.
[[nodiscard]] auto TimeUntilMaintenance(const PoolPolicy& policy, WallTime time)
    -> Duration;

/// Returns how many VMs a demand of `slots` occupied slots needs with headroom.
[[nodiscard]] auto VmsNeeded(const PoolPolicy& policy, double slots) -> int;

/// Returns how many VMs a demand of `slots` occupied slots needs without
/// headroom.
[[nodiscard]] auto VmsNeededWithoutHeadroom(const PoolPolicy& policy,
                                            double slots) -> int;

/// Returns the ratio of two profile weights, limited to [1/5, 5]; 1 when they
/// are equal, also when both are 0.
[[nodiscard]] auto WeightRatio(double weight, double other) -> double;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_POOL_POLICY_H_
