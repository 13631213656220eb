#ifndef FIREFLYTHREAD_JOBS_PLAN_COST_H_
#define FIREFLYTHREAD_JOBS_PLAN_COST_H_

#include <cstdint>

namespace fireflythread {

/// Counts what the planner examined, as a measure of its cost that does not
/// depend on a clock.
struct PlanCost {
  /// Steps with a waiting task.
  std::int64_t steps = 0;
  /// Tasks of these steps.
  std::int64_t tasks = 0;
  /// Examinations of a worker's state or capacity; a worker counts each time.
  std::int64_t workers = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_PLAN_COST_H_
