#ifndef FIREFLYTHREAD_JOBS_PLAN_COST_H_
#define FIREFLYTHREAD_JOBS_PLAN_COST_H_

#include <cstdint>

namespace fireflythread {

/// What planning looked at, so that its cost can be told without a clock.
struct PlanCost {
  /// Steps of jobs that had a waiting task.
  std::int64_t steps = 0;
  /// Tasks of these steps.
  std::int64_t tasks = 0;
  /// Workers whose state or room was examined; one counts each time.
  std::int64_t workers = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_PLAN_COST_H_
