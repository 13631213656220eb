#include "fireflythread/control/maintenance_clock.h"

#include <algorithm>
#include <chrono>

#include "fireflythread/config/maintenance_window.h"

namespace fireflythread {
namespace {

using std::chrono::days;
using std::chrono::minutes;

auto IsWeekday(const MaintenanceWindow& window, std::chrono::sys_days day)
    -> bool {
  const int weekday = static_cast<int>(std::chrono::weekday(day).c_encoding());
  return window.weekdays.empty() ||
         std::find(window.weekdays.begin(), window.weekdays.end(), weekday) !=
             window.weekdays.end();
}

/// Returns whether the window is open at `time`. A window that spans midnight
/// belongs to the weekday on which it begins.
auto IsInside(const MaintenanceWindow& window, WallTime time) -> bool {
  const auto day = std::chrono::floor<days>(time);
  const WallTime::duration time_of_day = time - day;
  if (window.begin <= window.end) {
    return IsWeekday(window, day) && time_of_day >= window.begin &&
           time_of_day < window.end;
  }
  return (IsWeekday(window, day) && time_of_day >= window.begin) ||
         (IsWeekday(window, day - days(1)) && time_of_day < window.end);
}

}  // namespace

auto IsWindowOpen(const std::vector<MaintenanceWindow>& windows, WallTime time)
    -> bool {
  return windows.empty() ||
         std::any_of(windows.begin(), windows.end(),
                     [time](const MaintenanceWindow& window) {
                       return IsInside(window, time);
                     });
}

}  // namespace fireflythread
