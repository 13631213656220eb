#ifndef FIREFLYTHREAD_JOBS_SHARD_STATE_H_
#define FIREFLYTHREAD_JOBS_SHARD_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/interference/image_pairs.h"
#include "fireflythread/jobs/completion_snapshot.h"
#include "fireflythread/jobs/finished_job.h"
#include "fireflythread/jobs/given_up_run.h"
#include "fireflythread/jobs/organisation_quota.h"
#include "fireflythread/jobs/organisation_shares.h"
#include "fireflythread/jobs/plan_cost.h"
#include "fireflythread/jobs/queue.h"
#include "fireflythread/jobs/released_runs.h"
#include "fireflythread/jobs/shard_job.h"
#include "fireflythread/jobs/shard_limits.h"
#include "fireflythread/jobs/shard_worker.h"
#include "fireflythread/jobs/unresponsive_record.h"

namespace fireflythread {

/// The estimated work of one accepted job: cores, in thousandths, for a
/// duration.
struct ArrivedWork {
  TimePoint arrived_at;
  std::int64_t millicores = 0;
  std::chrono::milliseconds duration{0};
};

/// The state that the owner of a shard keeps: the jobs of one part of a pool
/// and the workers that run them. Free functions in this folder change it; none
/// of them does input or output.
struct ShardState {
  ShardName shard;
  /// Fencing token of this ownership.
  std::uint64_t fence = 0;
  /// Fencing token of the next order to a worker: the revision of the last
  /// transaction with progress, which is between the tokens of this and the
  /// next ownership. Each start follows a transaction of its own, so a worker
  /// rejects what was ordered before a start and is carried out after it.
  std::uint64_t order_fence = 0;
  TimePoint owned_since;
  ShardLimits limits;
  /// The former owner is known to extend no more leases.
  bool former_owner_stopped = false;
  /// Time at which a former owner that did not release the shard was found to
  /// give no more leases.
  std::optional<TimePoint> former_owner_ended_at;
  /// Workers that the former owner knew as unresponsive, with the time at which
  /// their leases must have expired.
  std::map<WorkerId, TimePoint> unresponsive_until;
  /// Workers that had restarted lately under the former owner, or may have,
  /// with the time until which their runs must be held at least.
  std::map<WorkerId, TimePoint> restarted_until;
  /// Lost workers whose runs were released lately, with the time until which a
  /// new owner is told so.
  std::map<WorkerId, TimePoint> released_until;
  UnresponsiveRecord unresponsive_record;
  std::map<QueueId, Queue> queues;
  OrganisationShares shares;
  OrganisationQuota quota;
  std::map<JobId, ShardJob> jobs;
  /// Jobs that have ended and have no run left. They are kept while the feed
  /// may still deliver their rows, which would otherwise be mistaken for new
  /// jobs.
  std::map<JobId, FinishedJob> finished;
  /// Finished jobs whose rows are not moved yet.
  std::set<JobId> unmoved;
  /// Finished jobs whose rows were moved, oldest first.
  std::deque<MovedJob> moved;
  /// Orphaned cancellations, with the versions of their rows.
  std::map<JobId, std::uint64_t> orphaned_cancels;
  /// Revision up to which the changes of the job table have been read.
  std::uint64_t feed_revision = 0;
  std::map<WorkerId, ShardWorker> workers;
  /// Work of the recently accepted jobs.
  std::deque<ArrivedWork> arrivals;
  /// Jobs whose progress row is out of date.
  std::set<JobId> dirty;
  /// Last job that was added to a batch. The next batch continues after it, so
  /// that jobs that change all the time do not keep others from being stored.
  JobId last_batched;
  /// Completions whose effects are being stored.
  std::optional<CompletionSnapshot> completion_snapshot;
  /// A batch of records is being stored.
  bool storing = false;
  /// Tasks in RunPhase::kStopping.
  std::set<TaskName> stopping;
  /// The last plan left a ready task without a worker.
  bool has_backlog = false;
  /// A worker reported that a newer owner exists.
  bool fenced_off = false;
  /// Runs of lost workers that were released and are not logged yet.
  std::vector<ReleasedRuns> released;
  /// Runs that were given up and are not logged yet.
  std::vector<GivenUpRun> given_up;
  /// Which images interfere with each other; empty after a change of owner.
  ImagePairs image_pairs;
  /// Time of the last pass over the speed limits of fillers.
  TimePoint paced_at;
  /// Runs whose worker was chosen because another one has an image that
  /// interferes, since the shard was acquired.
  std::int64_t kept_apart = 0;
  /// Planning cost since the shard was acquired.
  PlanCost plan_cost;
};

/// Returns null when the shard has no such job or task.
[[nodiscard]] auto FindTask(ShardState& state, const TaskName& name)
    -> TaskState*;

/// Returns a task, which must exist.
[[nodiscard]] auto TaskOf(const ShardState& state, const TaskName& name)
    -> const TaskState&;

/// Returns the configured queue of a job, or null when there is none. A job of
/// an earlier version of the program is known by its queue's name alone.
[[nodiscard]] auto QueueOf(const ShardState& state, const ShardJob& job)
    -> const Queue*;

/// Returns the terms that hold for a job: those of its queue, or, while the
/// queue is not configured, those under which the job was accepted. Returns
/// null when neither is known; then nothing can be decided about the job.
[[nodiscard]] auto TermsOf(const ShardState& state, const ShardJob& job)
    -> const QueueTerms*;

/// Returns the step of a task. The task must exist.
[[nodiscard]] auto StepOf(const ShardState& state, const TaskName& name)
    -> const JobStep&;

/// Assigns a worker to a task's next run and allocates the capacity there.
auto AssignTask(ShardState& state,
                const TaskName& name,
                const WorkerId& worker,
                RunPhase phase,
                TimePoint now) -> void;

/// Releases a task and its capacity from its worker. Its run must be known not
/// to exist any more.
auto ReleaseTask(ShardState& state, const TaskName& name, TimePoint now)
    -> void;

/// Requests a stop of a task's newest run.
auto BeginStop(ShardState& state, const TaskName& name, TimePoint now) -> void;

/// Removes a job that has ended once its final state is stored and no run is
/// left. After that its rows may be moved.
auto ForgetIfFinished(ShardState& state, const JobId& id) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_STATE_H_
