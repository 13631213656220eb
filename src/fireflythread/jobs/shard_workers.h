#ifndef FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_
#define FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_

#include <optional>
#include <vector>

#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {

/// Takes in the workers of the shard's service that are registered now.
auto ApplyWorkers(ShardState& state,
                  const std::vector<WorkerView>& workers,
                  TimePoint now) -> void;

/// Releases the runs of workers that are gone or whose leases have all run
/// out, and forgets workers that are not registered and run nothing.
auto ExpireWorkers(ShardState& state, TimePoint now) -> void;

/// The next look at one of the shard's workers, if it is due. `may_extend` is
/// false once the owner must not extend leases any more.
[[nodiscard]] auto NextPoll(const ShardState& state,
                            ShardWorker& worker,
                            bool may_extend,
                            TimePoint now) -> std::optional<PollCommand>;

/// Takes in a worker's report. `sent_at` is when the look was sent.
auto ApplyReport(ShardState& state,
                 const WorkerId& worker,
                 const WorkerReport& report,
                 TimePoint sent_at,
                 TimePoint now) -> void;

/// A look got no usable answer.
auto ApplyPollFailure(ShardState& state, const WorkerId& worker, TimePoint now)
    -> void;

/// Nothing accepts connections at the worker's address.
auto ApplyPollRefusal(ShardState& state, const WorkerId& worker, TimePoint now)
    -> void;

/// Another instance answers at the worker's address.
auto ApplyWorkerGone(ShardState& state, const WorkerId& worker, TimePoint now)
    -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_
