#ifndef FIREFLYTHREAD_ENTRY_SHARD_TASK_H_
#define FIREFLYTHREAD_ENTRY_SHARD_TASK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/ended_jobs_task.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/entry/pace_task.h"
#include "fireflythread/entry/range_loader.h"
#include "fireflythread/entry/run_log.h"
#include "fireflythread/entry/shard_monitor.h"
#include "fireflythread/entry/shard_publisher.h"
#include "fireflythread/entry/shard_quota_task.h"
#include "fireflythread/entry/unresponsive_workers_task.h"
#include "fireflythread/entry/worker_directory.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/pool_part.h"
#include "fireflythread/jobs/record_batch.h"
#include "fireflythread/jobs/shard_limits.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"
#include "fireflythread/jobs/worker_report.h"
#include "fireflythread/ownership/handover.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Runs the jobs of one shard for as long as this entry owns it.
class ShardTask {
 public:
  struct Environment {
    TableStore& store;
    WorkerClient& workers;
    const Logger& logger;
    MetricsRegistry& metrics;
    /// Returns when the last confirmed renewal of the entry's row was sent.
    std::function<TimePoint()> confirmed_at;
    /// Called with the workers that are drained: they run nothing and get no
    /// more starts.
    std::function<void(const std::vector<WorkerId>&)> on_drained;
    /// Called with the shard when a newer owner exists. Must not destroy the
    /// task before it returns.
    std::function<void(const ShardName&)> on_fenced;
    /// Longest lease that a worker grants.
    std::chrono::milliseconds max_run_lease = ShardLimits().max_run_lease;
  };

  /// `part` is the part of a pool whose jobs to run, `fence` is the fencing
  /// token of its shard, and `handover` is what is known of the former owner.
  ShardTask(Environment environment,
            PoolPart part,
            std::uint64_t fence,
            const Handover& handover);
  ShardTask(const ShardTask&) = delete;
  auto operator=(const ShardTask&) -> ShardTask& = delete;

  /// Starts to load the jobs from the store.
  auto Start() -> void;
  /// Sets the queues of the configuration.
  auto SetQueues(std::map<QueueId, Queue> queues) -> void;
  /// Sets the organisations of the configuration.
  auto SetOrganisations(const std::vector<Organisation>& organisations) -> void;
  /// Applies the list of workers. It may contain workers of other shards, which
  /// are ignored.
  auto SetWorkers(const WorkerDirectory::Workers& workers) -> void;

  /// Sets the workers to drain. The set may contain workers of other shards.
  /// Nothing is started before the first call, as a former owner may have
  /// reported a worker as drained.
  auto SetDraining(const std::set<WorkerId>& workers) -> void;

  /// Starts no more tasks, stores all changed progress and then calls `done`.
  auto Drain(std::function<void()> done) -> void;

  /// Applies that the former owner gives no more leases. It has named these
  /// unresponsive workers, with the time until their leases must have expired.
  auto ApplyFormerOwnerEnd(
      const std::map<WorkerId, std::chrono::milliseconds>& unresponsive_workers)
      -> void;

  /// Gives no more leases: orders nothing from now on, although answers to
  /// earlier calls may still arrive.
  auto Close() -> void;

  /// Returns whether this owner knows all runs of the shard and what the former
  /// owner knew of their workers.
  [[nodiscard]] auto KnowsRuns() const -> bool;

  /// Returns the unresponsive workers, with the time until their leases must
  /// have expired, for the next owner.
  [[nodiscard]] auto UnresponsiveWorkers() const
      -> std::map<WorkerId, std::chrono::milliseconds>;

  /// Returns the fencing token of the shard.
  [[nodiscard]] auto Fence() const -> std::uint64_t {
    return this->state.fence;
  }

 private:
  auto LoadJobs() -> void;
  auto ApplyLoadedJobs(std::vector<Row> jobs, std::uint64_t revision) -> void;
  auto ApplyJobRow(const Row& row, const std::map<std::string, Row>& progress)
      -> void;
  auto FollowJobs() -> void;
  auto ApplyFeedPage(const FeedPage& page, TimePoint sent_at) -> void;
  auto Wake() -> void;
  auto Step() -> void;
  auto MoveEndedJobs(TimePoint now) -> void;
  auto PlanAndOrder(TimePoint now) -> void;
  auto FinishDrain() -> void;
  auto Flush() -> void;
  auto ApplyFlushOutcome(const RecordBatch& batch,
                         const TransactionOutcome& outcome,
                         TimePoint sent_at) -> void;
  auto ApplyConflict(const RecordBatch& batch, const Conflict& conflict)
      -> void;
  /// Sends the start of a run that a transaction sent at `stored_at` has
  /// stored, or withholds it after a pause of the process.
  auto SendStart(const StartCommand& start, TimePoint stored_at) -> void;
  auto LogFinished(const RecordBatch& batch, std::uint64_t revision) -> void;
  auto SendStops() -> void;
  auto SendStop(const StopCommand& stop) -> void;
  auto PollWorkers() -> void;
  auto SendPoll(const PollCommand& poll) -> void;
  auto ApplyWorkerReport(const PollCommand& poll,
                         const WorkerReport& report,
                         TimePoint sent_at) -> void;
  auto ApplyMissingReport(const PollCommand& poll, const OrderReply& reply)
      -> void;
  auto LogUnresponsive(const WorkerId& worker, TimePoint now) -> void;
  auto LogGivenUpRuns() -> void;
  auto LogCompletions(const WorkerId& worker, const WorkerReport& report)
      -> void;
  auto CheckFence() -> void;

  Environment environment;
  PoolPart part;
  ShardState state;
  ShardPublisher publisher;
  ShardMonitor monitor;
  RunLog run_log;
  EndedJobsTask ended_jobs;
  ShardQuotaTask quota;
  PaceTask paces;
  UnresponsiveWorkersTask unresponsive_workers;
  std::unique_ptr<RangeLoader> progress_loader;
  std::unique_ptr<RangeLoader> job_loader;
  std::map<std::string, Row> loaded_progress;
  /// When the read of the job table began.
  TimePoint load_began;
  bool loaded = false;
  bool loaded_once = false;
  /// The feed may have changes already; the next call must not wait for one.
  bool feed_behind = false;
  bool flushing = false;
  bool draining = false;
  bool closed = false;
  std::function<void()> drain_callback;
  std::set<WorkerId> draining_workers;
  bool draining_known = false;
  /// When the last step ended, and how long it took.
  TimePoint step_ended;
  Duration last_step{0};
  /// When the last transaction with progress was sent.
  TimePoint flushed_at;
  OneShotTimer wake;
  OneShotTimer flush_timer;
  OneShotTimer follow_retry;
  PeriodicTimer tick;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_TASK_H_
