#ifndef FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_
#define FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_

namespace fireflythread {

/// Limits the retries and hedges of one pool to a fraction of the first
/// attempts, so that retries do not overload a failing pool. It is a token
/// bucket that first attempts fill.
class RetryBudget {
 public:
  /// Retries allowed per first attempt. The target is that retries raise the
  /// load to at most 1.1 times the load of first attempts.
  static constexpr double kRatio = 0.1;
  /// Size of the token bucket: the upper limit of a burst of retries after a
  /// time with few failures.
  static constexpr double kMaxTokens = 50;

  explicit RetryBudget(double ratio = kRatio) : tokens_per_attempt(ratio) {}

  /// Adds the tokens that one first attempt earns.
  auto CountFirstAttempt() -> void;
  /// Takes a token for one further attempt; returns false if there is none.
  [[nodiscard]] auto TryTake() -> bool;

 private:
  double tokens_per_attempt;
  double tokens = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RETRY_BUDGET_H_
