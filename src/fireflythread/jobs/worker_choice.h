#ifndef FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
#define FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_

#include <optional>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// The worker for a task's next run: it is registered and in touch, has the
/// label and the room, and holds fewer tasks of the step than allowed. Workers
/// near the data come first, then those with the most cores free. No value
/// when no worker can take the task now.
[[nodiscard]] auto ChooseWorker(const ShardState& state,
                                const TaskName& name,
                                TimePoint now) -> std::optional<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_CHOICE_H_
