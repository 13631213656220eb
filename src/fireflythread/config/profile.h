#ifndef FIREFLYTHREAD_CONFIG_PROFILE_H_
#define FIREFLYTHREAD_CONFIG_PROFILE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/config/maintenance_window.h"

namespace fireflythread {

/// A named capacity profile that services pick.
struct Profile {
  ProfileName name;
  /// The table revision of the row; 0 for a profile not yet stored.
  std::uint64_t version = 0;
  /// Idle capacity kept above demand, as a share of demand (0 to 4).
  double headroom = 0.25;
  /// Largest share of a pool's VMs that may be out at once for maintenance
  /// (0.01 to 1).
  double max_unavailable = 0.2;
  /// Share of counter requests that must be answered in time (0.5 to 0.99999).
  double availability = 0.999;
  /// Higher priorities get spare VMs first (0 to 100).
  int priority = 50;
  /// Weights of the three measures in the controller's decisions (0 to 10).
  double weight_buffer = 1.0;
  double weight_rollout = 1.0;
  double weight_moves = 1.0;
  /// Every VM is maintained once in this time by waves that the controller
  /// declares; 0 leaves it to operators (0 to 365 days).
  std::chrono::seconds maintenance_interval{0};
  /// When VMs may be taken for maintenance; empty means at any time.
  std::vector<MaintenanceWindow> windows;

  auto operator==(const Profile&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_PROFILE_H_
