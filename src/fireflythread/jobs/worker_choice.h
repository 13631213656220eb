#ifndef FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
#define FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_

#include <optional>

#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/usable_workers.h"

namespace fireflythread {

/// The worker for a task's next run: it is registered and in touch, has the
/// label and the room, is not reserved, and holds fewer tasks of the step than
/// allowed. Workers near the data come first. Lasting tasks are spread; finite
/// ones are packed, so that idle workers can leave for another pool at once. No
/// value when no worker can take the task now.
[[nodiscard]] auto ChooseWorker(const ShardState& state,
                                UsableWorkers& usable,
                                const TaskName& name)
    -> std::optional<WorkerId>;

/// The worker that will have room for a task soonest: as ChooseWorker(), but
/// what its present tasks use counts as free.
[[nodiscard]] auto ChooseWorkerToReserve(const ShardState& state,
                                         UsableWorkers& usable,
                                         const TaskName& name)
    -> std::optional<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
