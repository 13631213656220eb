#include "fireflythread/retry/retry_budget.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// Tolerance for rounding: ten times 0.1 is slightly less than 1 in floating
/// point.
constexpr double kTokenTolerance = 1e-6;

}  // namespace

auto RetryBudget::CountFirstAttempt() -> void {
  this->tokens = std::min(kMaxTokens, this->tokens + this->tokens_per_attempt);
}

auto RetryBudget::TryTake() -> bool {
  if (this->tokens < 1 - kTokenTolerance) {
    return false;
  }
  this->tokens = std::max(0.0, this->tokens - 1);
  return true;
}

}  // namespace fireflythread
