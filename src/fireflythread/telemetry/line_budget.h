#ifndef FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_
#define FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Lines of one event that a process may still write.
struct EventBudget {
  double available = 0;
  TimePoint refilled_at;
  /// Lines left out since the last one that was written.
  std::uint64_t left_out = 0;
};

/// Bounds how many log lines a process writes. Each event has a budget of its
/// own, so that a frequent one does not push out a rare one.
struct LineBudget {
  /// Lines of an event that may be written at once after a quiet time.
  double burst = 500;
  double lines_per_second = 100;
  std::map<std::string, EventBudget, std::less<>> events;
};

/// Whether a line of this event may be written now; one that may not is
/// counted.
[[nodiscard]] auto TakeLine(LineBudget& budget,
                            std::string_view event,
                            TimePoint now) -> bool;

/// How many lines of this event were left out since the last call.
[[nodiscard]] auto TakeLeftOut(LineBudget& budget, std::string_view event)
    -> std::uint64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_
