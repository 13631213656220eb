#ifndef FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_
#define FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// How a queue orders and bounds requests. kFifo and kStrictPriority are kept
/// as baselines for bench/admission_main.cc.
enum class QueueOrder : std::uint8_t { kFifo, kStrictPriority, kFair };

struct AdmissionLimits {
  std::size_t max_queued = 2048;
  QueueOrder order = QueueOrder::kFair;
  /// Refuse at once what cannot be answered within its deadline.
  bool shed_early = true;
  /// Part of the picks that batch work gets whatever else waits.
  double batch_share = 0.05;
  /// A lower class gains kAgingSharePerPeriod of the picks for each such time
  /// that its oldest request has waited, up to kMaxAgedShare.
  Duration aging_period = std::chrono::seconds(5);
};

inline constexpr double kAgingSharePerPeriod = 0.02;
inline constexpr double kMaxAgedShare = 0.10;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_ADMISSION_LIMITS_H_
