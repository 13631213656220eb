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
  /// A newer owner has given orders; nothing was done.
  kFenced,
  /// This or a later run has ended there; nothing was done.
  kOldRun,
  /// The lease deadline had passed; nothing was done.
  kDeadlinePassed,
  /// The worker has no room; nothing was done.
  kNoCapacity,
  /// The worker needs a valid ticket; nothing was done.
  kNoTicket,
  /// The worker could not read the order; nothing was done.
  kInvalid,
  /// The worker is unhealthy; nothing was done.
  kUnhealthy,
  /// Another instance answers at the address: the worker is gone.
  kOtherInstance,
  /// No answer: the order may be carried out, now or later.
  kUnknown,
  /// The order never left this process.
  kNotSent
};

/// "done", "fenced", "old_run" and so on, for logs.
[[nodiscard]] auto OrderVerdictName(OrderVerdict verdict) -> std::string_view;

/// A worker's answer to a start, stop or pace order.
struct OrderReply {
  OrderVerdict verdict = OrderVerdict::kUnknown;
  /// The worker's clock, where the answer has it.
  std::optional<std::chrono::milliseconds> clock = std::nullopt;
  /// Why there is no answer; empty where there is one.
  std::string reason = {};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORDER_VERDICT_H_
