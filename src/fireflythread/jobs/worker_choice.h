#ifndef FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
#define FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_

#include <optional>

#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/usable_workers.h"

namespace fireflythread {

/// Returns the worker for a task's next run: a usable worker with the required
/// label and enough free capacity that is not reserved and holds fewer tasks of
/// the step than allowed. Workers near the data are preferred. Long-running
/// tasks are spread, but leave some workers without any; finite tasks are
/// packed, so that idle workers can leave for another pool at once. Among
/// workers that are equally suitable, one without an interfering image is
/// preferred, for finite tasks only after packing. Returns no value when no
/// worker can take the task now.
[[nodiscard]] auto ChooseWorker(const ShardState& state,
                                UsableWorkers& usable,
                                const TaskName& name)
    -> std::optional<WorkerId>;

/// Returns the worker that is expected to have enough capacity for a task
/// soonest: that with the most free capacity of those that have enough once
/// their finite tasks have ended. While nothing else starts there it stays the
/// one, as only its free capacity grows.
[[nodiscard]] auto ChooseWorkerToReserve(const ShardState& state,
                                         UsableWorkers& usable,
                                         const TaskName& name)
    -> std::optional<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
