#ifndef FIREFLYTHREAD_JOBS_ORDER_VERDICT_H_
#define FIREFLYTHREAD_JOBS_ORDER_VERDICT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflythread {

enum class OrderVerdict : std::uint8_t {
  kDone,
  /// A newer owner has already given orders; the order was not executed.
  kFenced,
  /// This run or a later one of the task has already ended on the worker; the
  /// order was not executed.
  kOldRun,
  /// The lease deadline has passed; the order was not executed.
  kDeadlinePassed,
  /// The worker does not have the capacity; the order was not executed.
  kNoCapacity,
  /// The worker requires a valid ticket; the order was not executed.
  kNoTicket,
  /// The worker could not parse the order; the order was not executed.
  kInvalid,
  /// The worker is unhealthy; the order was not executed.
  kUnhealthy,
  /// Another instance answers at the address, so the worker no longer exists.
  kOtherInstance,
  /// No answer: the order may have been executed or may still be.
  kUnknown,
  /// The order was never sent.
  kNotSent
};

/// Returns "done", "fenced", "old_run" and so on, for logs.
[[nodiscard]] auto OrderVerdictName(OrderVerdict verdict) -> std::string_view;

/// A worker's answer to a start, stop or speed limit order.
struct OrderReply {
  OrderVerdict verdict = OrderVerdict::kUnknown;
  /// Reading of the worker's clock, if the answer contains one.
  std::optional<std::chrono::milliseconds> clock = std::nullopt;
  /// Reason why there is no answer; empty when there is one.
  std::string reason = {};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORDER_VERDICT_H_
