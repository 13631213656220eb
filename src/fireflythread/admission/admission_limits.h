#ifndef FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_
#define FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The order in which a queue serves requests. kFifo and kStrictPriority are
/// baselines for bench/admission_main.cc.
enum class QueueOrder : std::uint8_t { kFifo, kStrictPriority, kFair };

/// Limits and scheduling parameters of one admission queue.
struct AdmissionLimits {
  /// Upper limit of queued requests.
  std::size_t max_queued = 2048;
  QueueOrder order = QueueOrder::kFair;
  /// Refuses a request on arrival when it is not expected to be answered
  /// within its deadline.
  bool shed_early = true;
  /// Fraction of the dequeued requests that is guaranteed to the batch class.
  double batch_share = 0.05;
  /// A lower class gains the fraction kAgingSharePerPeriod of the dequeued
  /// requests for each such period that its oldest request has waited, up to
  /// kMaxAgedShare.
  Duration aging_period = std::chrono::seconds(5);
};

inline constexpr double kAgingSharePerPeriod = 0.02;
inline constexpr double kMaxAgedShare = 0.10;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_
