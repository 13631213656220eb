#ifndef FIREFLYTHREAD_RETENTION_RETENTION_LIMITS_H_
#define FIREFLYTHREAD_RETENTION_RETENTION_LIMITS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// How long rows are kept and how fast they are read and removed.
struct RetentionLimits {
  /// Idempotency records, from their claim.
  Duration records = std::chrono::hours(30 * 24);
  /// Edits of the configuration.
  Duration history = std::chrono::hours(90 * 24);
  /// Ended waves and long tasks, from their declaration or submission.
  Duration ended = std::chrono::hours(30 * 24);
  /// Rows read in a second; no more are removed. 1 to 1000.
  int rows_per_second = 50;
  /// From the end of one pass over the tables to the next.
  Duration pass_pause = std::chrono::minutes(10);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETENTION_RETENTION_LIMITS_H_
