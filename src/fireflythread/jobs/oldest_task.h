#ifndef FIREFLYTHREAD_JOBS_OLDEST_TASK_H_
#define FIREFLYTHREAD_JOBS_OLDEST_TASK_H_

#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/task_state.h"

namespace fireflythread {

/// A task whose newest run may exist, with the time for which it has been in
/// its phase.
struct OldestTask {
  TaskName task;
  int run = 0;
  WorkerId worker;
  Duration in_phase{0};
};

/// Returns the task that has been longest in its phase, for each phase in which
/// a run may exist and a task is.
[[nodiscard]] auto FindOldestTasks(const ShardState& state, TimePoint now)
    -> std::map<RunPhase, OldestTask>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_OLDEST_TASK_H_
