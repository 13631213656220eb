#ifndef FIREFLYTHREAD_JOBS_STEP_DELAY_H_
#define FIREFLYTHREAD_JOBS_STEP_DELAY_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Returns the delay from an event to the step of the shard's owner that
/// handles it. The pause between the end of the last step, `idle` ago, and the
/// next one is at least as long as the last step took, so that steps leave half
/// of the main loop's time to orders, reports and the store.
[[nodiscard]] auto StepDelay(Duration last_step, Duration idle)
    -> std::chrono::milliseconds;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_STEP_DELAY_H_
