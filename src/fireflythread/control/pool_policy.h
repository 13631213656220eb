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

/// What the services of a pool ask for together: the strictest of their
/// profiles' limits and the largest of their weights.
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
  /// The shortest interval of the services' profiles; 0 for none.
  std::chrono::seconds maintenance_interval{0};
  std::vector<ServiceName> services;
  /// The windows of each service; VMs may be taken when all are open.
  std::vector<std::vector<MaintenanceWindow>> windows;
};

using PoolPolicies = std::map<PoolName, PoolPolicy>;

/// The policies of all pools of a configuration. A pool without services, such
/// as the spare pool, gets the largest weights and the shortest maintenance
/// interval of all services. A service whose
/// profile is missing counts with the default profile.
[[nodiscard]] auto MakePoolPolicies(const ConfigSnapshot& config)
    -> PoolPolicies;

/// Whether the maintenance windows of all services of the pool are open.
[[nodiscard]] auto IsMaintenanceOpen(const PoolPolicy& policy, WallTime time)
    -> bool;

/// Time until the windows of all services are open, at most nine days; 0 when
/// they are open.
[[nodiscard]] auto TimeUntilMaintenance(const PoolPolicy& policy, WallTime time)
    -> Duration;

/// VMs that demand with headroom needs, of `slots` occupied slots.
[[nodiscard]] auto VmsNeeded(const PoolPolicy& policy, double slots) -> int;

/// VMs that demand without headroom needs.
[[nodiscard]] auto VmsNeededWithoutHeadroom(const PoolPolicy& policy,
                                            double slots) -> int;

/// A profile weight's share against another one, in [1/5, 5]: 1 when equal.
[[nodiscard]] auto WeightRatio(double weight, double other) -> double;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_POOL_POLICY_H_
