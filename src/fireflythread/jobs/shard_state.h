#ifndef FIREFLYTHREAD_JOBS_SHARD_STATE_H_
#define FIREFLYTHREAD_JOBS_SHARD_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/completion_snapshot.h"
#include "fireflythread/jobs/finished_job.h"
#include "fireflythread/jobs/plan_cost.h"
#include "fireflythread/jobs/queue.h"
#include "fireflythread/jobs/shard_job.h"
#include "fireflythread/jobs/shard_limits.h"
#include "fireflythread/jobs/shard_worker.h"

namespace fireflythread {

/// The estimated work of one accepted job, thousandths of a core for a time.
struct ArrivedWork {
  TimePoint arrived_at;
  std::int64_t millicores = 0;
  std::chrono::milliseconds duration{0};
};

/// Everything that the owner of a shard knows: the jobs of one service and the
/// workers that run them. Free functions in this folder change it; none does
/// input or output.
struct ShardState {
  ServiceName service;
  /// Fencing token of this ownership.
  std::uint64_t fence = 0;
  TimePoint owned_since;
  ShardLimits limits;
  /// The former owner certainly extends no leases any more.
  bool former_owner_stopped = false;
  /// Workers that did not answer the former owner when it handed the shard
  /// over, with the time at which their leases are certainly over.
  std::map<WorkerId, TimePoint> unresponsive_until;
  std::map<QueueName, Queue> queues;
  std::map<JobId, ShardJob> jobs;
  /// Jobs that have ended and have no run left. They stay known while the feed
  /// may still deliver their rows: they must not be taken as new.
  std::map<JobId, FinishedJob> finished;
  /// Finished jobs whose rows are still to be moved.
  std::set<JobId> unmoved;
  /// Finished jobs whose rows were moved, the earliest first.
  std::deque<MovedJob> moved;
  /// Cancellations whose jobs have no row any more, with their rows' versions.
  std::map<JobId, std::uint64_t> orphaned_cancels;
  /// Revision up to which the changes of the job table are known.
  std::uint64_t feed_revision = 0;
  std::map<WorkerId, ShardWorker> workers;
  /// Work of the jobs that were accepted lately.
  std::deque<ArrivedWork> arrivals;
  /// Jobs whose progress row is out of date.
  std::set<JobId> dirty;
  /// Job that was taken last for a batch. The next batch goes on after it, so
  /// that jobs that change all the time do not keep others from the store.
  JobId last_batched;
  /// Ends whose effects are being stored.
  std::optional<CompletionSnapshot> completion_snapshot;
  /// A batch of records is on its way to the store.
  bool storing = false;
  /// Tasks in RunPhase::kStopping.
  std::set<TaskName> stopping;
  /// A worker answered that a newer owner exists.
  bool fenced_off = false;
  /// Sum over this ownership.
  PlanCost plan_cost;
};

/// Null when the shard has no such job or task.
[[nodiscard]] auto FindTask(ShardState& state, const TaskName& name)
    -> TaskState*;

/// The step of a task that exists.
[[nodiscard]] auto StepOf(const ShardState& state, const TaskName& name)
    -> const JobStep&;

/// Gives a task's next run a worker and takes the room there.
auto AssignTask(ShardState& state,
                const TaskName& name,
                const WorkerId& worker,
                RunPhase phase,
                TimePoint now) -> void;

/// Takes a task off its worker, whose run certainly does not exist any more.
auto ReleaseTask(ShardState& state, const TaskName& name, TimePoint now)
    -> void;

/// Orders a stop of a task's newest run.
auto BeginStop(ShardState& state, const TaskName& name, TimePoint now) -> void;

/// Drops a job that has ended once its final state is stored and none of its
/// runs is left. From then on its rows may be moved.
auto ForgetIfFinished(ShardState& state, const JobId& id) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_STATE_H_
