#ifndef FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_
#define FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread {

/// Applies the current list of registered workers of the shard's service.
auto ApplyWorkers(ShardState& state,
                  const std::vector<WorkerView>& workers,
                  TimePoint now) -> void;

/// Releases the runs of workers that are gone or whose leases have all expired,
/// and removes workers that are not registered and run nothing.
auto ExpireWorkers(ShardState& state, TimePoint now) -> void;

/// Returns the next poll of one of the shard's workers, if it is due.
/// `may_extend` is false once the owner must not extend leases any more.
[[nodiscard]] auto NextPoll(const ShardState& state,
                            ShardWorker& worker,
                            bool may_extend,
                            TimePoint now) -> std::optional<PollCommand>;

/// Applies a worker's report. `sent_at` is the time at which the poll was sent.
auto ApplyReport(ShardState& state,
                 const WorkerId& worker,
                 const WorkerReport& report,
                 TimePoint sent_at,
                 TimePoint now) -> void;

/// Applies that a worker has restarted under the same id. The new incarnation
/// knows nothing of the former one, but may have accepted runs already, so its
/// first report decides which runs exist.
auto ApplyRestart(ShardState& state, ShardWorker& worker, TimePoint now)
    -> void;

/// Records that a worker rejected a poll because a later order of this owner
/// had reached it before.
auto ApplyOvertakenPoll(ShardState& state,
                        const WorkerId& worker,
                        TimePoint now) -> void;

/// Records that a poll got no usable answer.
auto ApplyPollFailure(ShardState& state, const WorkerId& worker, TimePoint now)
    -> void;

/// Records that the connection to the worker's address was refused.
auto ApplyPollRefusal(ShardState& state, const WorkerId& worker, TimePoint now)
    -> void;

/// Records that another instance answers at an address of the worker. Has no
/// effect if the worker is registered at another address by now; returns
/// whether the worker is gone.
auto ApplyOtherInstance(ShardState& state,
                        const WorkerId& worker,
                        const std::string& address,
                        TimePoint now) -> bool;

/// Applies the verdict on a poll that got no report.
auto ApplyMissingReport(ShardState& state,
                        const PollCommand& poll,
                        OrderVerdict verdict,
                        TimePoint now) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_WORKERS_H_
