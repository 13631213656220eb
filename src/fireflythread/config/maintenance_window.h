#ifndef FIREFLYTHREAD_CONFIG_MAINTENANCE_WINDOW_H_
#define FIREFLYTHREAD_CONFIG_MAINTENANCE_WINDOW_H_

#include <chrono>
#include <vector>

namespace fireflythread {

/// A daily span of time, in UTC, in which VMs may be taken for maintenance.
/// `begin` and `end` count from midnight; a span with end < begin runs over
/// midnight. `weekdays` holds 0 (Sunday) to 6; empty means every day.
struct MaintenanceWindow {
  std::chrono::minutes begin{0};
  std::chrono::minutes end{24 * 60};
  std::vector<int> weekdays;

  auto operator==(const MaintenanceWindow&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_MAINTENANCE_WINDOW_H_
