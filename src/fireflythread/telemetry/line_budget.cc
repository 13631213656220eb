#include "fireflythread/telemetry/line_budget.h"

#include <algorithm>
#include <chrono>

namespace fireflythread {

auto TakeLine(LineBudget& budget, TimePoint now) -> bool {
  const std::chrono::duration<double> elapsed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.available =
      std::min(budget.burst,
               budget.available + elapsed.count() * budget.lines_per_second);
  if (budget.available < 1) {
    ++budget.left_out;
    return false;
  }
  budget.available -= 1;
  return true;
}

}  // namespace fireflythread
