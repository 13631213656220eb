#ifndef FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_
#define FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_

namespace fireflythread {

/// Bounds the attempts beyond the first of one pool's requests, hedges
/// included, to a part of the first attempts, so that a failing pool is not
/// buried under repeats. A token bucket that first attempts fill.
class RetryBudget {
 public:
  /// Retries for each first attempt. The target is at most 1.1 times the load.
  static constexpr double kRatio = 0.1;
  /// Tokens that quiet times may save for a burst of failures.
  static constexpr double kMaxTokens = 50;

  explicit RetryBudget(double ratio = kRatio) : tokens_per_attempt(ratio) {}

  auto CountFirstAttempt() -> void;
  /// Takes a token for one further attempt; false if there is none.
  [[nodiscard]] auto TryTake() -> bool;

 private:
  double tokens_per_attempt;
  double tokens = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_
