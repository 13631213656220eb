#include "fireflythread/telemetry/line_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fireflythread {
namespace {

auto BudgetOf(LineBudget& budget, std::string_view event, TimePoint now)
    -> EventBudget& {
  const auto known = budget.events.find(event);
  if (known != budget.events.end()) {
    return known->second;
  }
  return budget.events
      .emplace(std::string(event), EventBudget{budget.burst, now, 0})
      .first->second;
}

}  // namespace

auto TakeLine(LineBudget& budget, std::string_view event, TimePoint now)
    -> bool {
  EventBudget& lines = BudgetOf(budget, event, now);
  const std::chrono::duration<double> elapsed = now - lines.refilled_at;
  lines.refilled_at = now;
  lines.available =
      std::min(budget.burst,
               lines.available + elapsed.count() * budget.lines_per_second);
  if (lines.available < 1) {
    ++lines.left_out;
    return false;
  }
  lines.available -= 1;
  return true;
}

auto TakeLeftOut(LineBudget& budget, std::string_view event) -> std::uint64_t {
  const auto known = budget.events.find(event);
  return known == budget.events.end()
             ? 0
             : std::exchange(known->second.left_out, 0);
}

}  // namespace fireflythread
