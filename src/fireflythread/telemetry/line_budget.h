#ifndef FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_
#define FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_

#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Bounds how many log lines a process writes.
struct LineBudget {
  /// Lines that may be written at once after a quiet time.
  double burst = 2000;
  double lines_per_second = 400;
  double available = 2000;
  TimePoint refilled_at;
  /// Lines left out since the last one that was written.
  std::uint64_t left_out = 0;
};

/// Whether a line may be written now; one that may not is counted.
[[nodiscard]] auto TakeLine(LineBudget& budget, TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LINE_BUDGET_H_
