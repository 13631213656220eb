#include "fireflythread/entry/shard_task.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/drain.h"
#include "fireflythread/jobs/ended_jobs.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/shard_plan.h"
#include "fireflythread/jobs/shard_record.h"
#include "fireflythread/jobs/shard_workers.h"
#include "fireflythread/jobs/step_delay.h"
#include "fireflythread/jobs/worker_lease.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Period of the steps that no event triggers.
constexpr milliseconds kTick{100};

/// Timeout of a start or stop.
constexpr milliseconds kOrderTimeout{1000};

/// Minimum time between two transactions that store progress, so that the
/// changes of that time share one, and the completions one poll.
constexpr milliseconds kFlushPeriod{30};

/// A start may be sent for this long after the transaction that stored its run
/// was sent. Only a paused process gets the answer later.
constexpr milliseconds kStartValidity{1500};
static_assert(kStartValidity > kStoreTimeout);

/// Upper limit of the jobs whose progress is stored in one transaction. A
/// transaction holds at most 100 entries; each job takes two and the fence one.
constexpr std::size_t kJobsPerTransaction = 45;

}  // namespace

ShardTask::ShardTask(Environment env,
                     PoolPart pool_part,
                     std::uint64_t fence,
                     const Handover& handover)
    : environment(std::move(env)),
      part(std::move(pool_part)),
      publisher(this->environment.store,
                this->environment.logger,
                ShardOf(this->part),
                this->part.pool),
      monitor(this->environment.logger, this->environment.metrics),
      run_log(this->environment.logger, this->environment.metrics),
      ended_jobs(this->environment.store,
                 this->environment.logger,
                 this->state,
                 [this] { this->CheckFence(); }),
      quota(this->environment.store,
            this->environment.logger,
            this->state,
            ShardOf(this->part),
            [this] { this->Wake(); }),
      paces(this->environment.workers,
            this->environment.logger,
            this->environment.metrics,
            this->state,
            [this] { this->CheckFence(); }),
      unresponsive_workers(this->environment.store,
                           this->state,
                           handover.former.fence,
                           [this] {
                             this->CheckFence();
                             this->Wake();
                           }),
      wake([this] { this->Step(); }),
      flush_timer([this] { this->Wake(); }),
      follow_retry(
          [this] { this->loaded ? this->FollowJobs() : this->LoadJobs(); }),
      tick(kTick, [this] { this->Wake(); }) {
  this->state.shard = ShardOf(this->part);
  this->state.fence = fence;
  this->state.owned_since = ReadBootClock();
  this->state.former_owner_stopped = handover.former_owner_stopped;
  this->state.limits.max_run_lease = this->environment.max_run_lease;
  for (const auto& [worker, left] : handover.unresponsive_workers) {
    this->state.unresponsive_until[worker] = this->state.owned_since + left;
  }
}

auto ShardTask::UnresponsiveWorkers() const
    -> std::map<WorkerId, milliseconds> {
  return fireflythread::UnresponsiveWorkers(this->state, ReadBootClock());
}

auto ShardTask::ApplyFormerOwnerEnd(
    const std::map<WorkerId, milliseconds>& named) -> void {
  fireflythread::ApplyFormerOwnerEnd(this->state, named, ReadBootClock());
  this->environment.logger.Info("shard", "former_owner_ended",
                                {{"shard", this->state.shard},
                                 {"fence", this->state.fence},
                                 {"unresponsive_workers", named.size()}});
  this->Wake();
}

auto ShardTask::Close() -> void {
  this->closed = true;
}

auto ShardTask::KnowsRuns() const -> bool {
  return this->loaded_once && this->state.unresponsive_record.loaded;
}

auto ShardTask::Start() -> void {
  this->unresponsive_workers.Load();
  this->LoadJobs();
}

auto ShardTask::SetQueues(std::map<QueueId, Queue> queues) -> void {
  this->state.queues = std::move(queues);
  this->Wake();
}

auto ShardTask::SetOrganisations(const std::vector<Organisation>& organisations)
    -> void {
  std::map<OrganisationName, double> weights;
  for (const Organisation& organisation : organisations) {
    weights.emplace(organisation.name, organisation.weight);
  }
  fireflythread::SetOrganisations(this->state.shares, weights);
  this->quota.SetOrganisations(organisations);
  this->Wake();
}

auto ShardTask::SetWorkers(const WorkerDirectory::Workers& workers) -> void {
  std::vector<WorkerView> mine;
  for (const auto& [id, worker] : workers) {
    if (worker.view.service == this->part.pool && HasWorker(this->part, id)) {
      mine.push_back(worker.view);
    }
  }
  ApplyWorkers(this->state, mine, ReadBootClock());
  fireflythread::SetDraining(this->state, this->draining_workers);
  this->Wake();
}

auto ShardTask::SetDraining(const std::set<WorkerId>& workers) -> void {
  this->draining_workers = workers;
  this->draining_known = true;
  fireflythread::SetDraining(this->state, workers);
  this->Wake();
}

auto ShardTask::Drain(std::function<void()> done) -> void {
  this->draining = true;
  this->drain_callback = std::move(done);
  this->Wake();
}

auto ShardTask::LoadJobs() -> void {
  const std::string store_part = this->state.shard.value;
  this->progress_loader = std::make_unique<RangeLoader>(
      this->environment.store,
      RangeRequest{std::string(kProgressTable), store_part},
      [this, store_part](std::vector<Row> rows, std::uint64_t) {
        this->loaded_progress.clear();
        this->load_began = ReadBootClock();
        for (Row& row : rows) {
          std::string key = row.key;
          this->loaded_progress.emplace(std::move(key), std::move(row));
        }
        this->job_loader = std::make_unique<RangeLoader>(
            this->environment.store,
            RangeRequest{JobTable(this->state.shard), store_part},
            [this](std::vector<Row> jobs, std::uint64_t revision) {
              this->ApplyLoadedJobs(std::move(jobs), revision);
            });
        this->job_loader->Start();
      });
  this->progress_loader->Start();
}

auto ShardTask::ApplyLoadedJobs(std::vector<Row> jobs, std::uint64_t revision)
    -> void {
  // Jobs are applied before the cancellations, which refer to them.
  std::stable_partition(jobs.begin(), jobs.end(), [](const Row& row) -> bool {
    const auto key = ParseJobTableKey(row.key);
    return key && !key->is_cancel;
  });
  for (const Row& row : jobs) {
    this->ApplyJobRow(row, this->loaded_progress);
  }
  this->loaded_progress.clear();
  this->loaded = true;
  this->state.feed_revision = revision;
  // The first page is the oldest one; later changes are in the feed.
  this->monitor.RecordFeed(this->load_began, 0);
  this->feed_behind = true;
  if (!this->loaded_once) {
    this->loaded_once = true;
    this->environment.logger.Info(
        "shard", "loaded",
        {{"shard", this->state.shard},
         {"fence", this->state.fence},
         {"open_jobs", this->state.jobs.size()},
         {"finished_jobs", this->state.finished.size()},
         {"former_owner_stopped", this->state.former_owner_stopped},
         {"unresponsive_workers", this->state.unresponsive_until.size()},
         {"revision", revision}});
  }
  this->FollowJobs();
  this->Wake();
}

auto ShardTask::ApplyJobRow(const Row& row,
                            const std::map<std::string, Row>& progress)
    -> void {
  const auto key = ParseJobTableKey(row.key);
  if (!key) {
    this->environment.logger.Warning("shard", "unreadable_row",
                                     {{"table", row.table}, {"key", row.key}});
    return;
  }
  const TimePoint now = ReadBootClock();
  if (key->is_cancel) {
    ApplyCancelRow(this->state, key->job, row.version, now);
    return;
  }
  auto request = DecodeJobRequest(key->job, row.value);
  if (!request) {
    this->environment.logger.Warning("shard", "unreadable_row",
                                     {{"table", row.table}, {"key", row.key}});
    return;
  }
  std::optional<JobProgress> known;
  std::uint64_t version = 0;
  const auto found = progress.find(key->job.value);
  if (found != progress.end()) {
    version = found->second.version;
    known = DecodeJobProgress(found->second.value, TaskCount(*request));
    if (!known) {
      this->environment.logger.Error("shard", "unreadable_progress",
                                     {{"job", key->job}, {"version", version}});
      return;
    }
  }
  AddJob(this->state, std::move(*request), std::move(known), version, now);
}

auto ShardTask::FollowJobs() -> void {
  // After a failed or late answer, there may be changes already, so the call
  // must not wait for one.
  const milliseconds wait =
      std::exchange(this->feed_behind, false) ? milliseconds(0) : kFollowWait;
  const TimePoint sent_at = ReadBootClock();
  this->environment.store.Follow(
      JobTable(this->state.shard), this->state.feed_revision, wait,
      kFollowWait + kFollowSlack,
      this->alive.Guard([this, sent_at](auto&& result) {
        const auto* page = std::get_if<FeedPage>(&result);
        if (page == nullptr) {
          this->feed_behind = true;
          this->follow_retry.Start(kStoreRetryDelay);
          return;
        }
        if (page->history_lost) {
          this->loaded = false;
          this->follow_retry.Start(milliseconds(0));
          return;
        }
        this->ApplyFeedPage(*page, sent_at);
        this->FollowJobs();
      }));
}

auto ShardTask::ApplyFeedPage(const FeedPage& page, TimePoint sent_at) -> void {
  this->state.feed_revision = page.revision;
  // A page that arrived late may be as old as the call.
  const TimePoint now = ReadBootClock();
  this->feed_behind = now - sent_at > kFollowWait + kFollowSlack;
  this->monitor.RecordFeed(this->feed_behind ? sent_at : now,
                           page.changed.size());
  for (const Row& row : page.changed) {
    this->ApplyJobRow(row, {});
  }
  if (!page.changed.empty()) {
    this->Wake();
  }
}

auto ShardTask::Wake() -> void {
  const Duration idle = ReadBootClock() - this->step_ended;
  this->wake.Start(StepDelay(this->last_step, idle));
}

auto ShardTask::Step() -> void {
  if (this->state.fenced_off || this->closed) {
    return;
  }
  const TimePoint now = ReadBootClock();
  ExpireWorkers(this->state, now);
  if (this->KnowsRuns()) {
    this->PlanAndOrder(now);
    // Not before the jobs are loaded: until then no worker has runs, and the
    // row would lose what the former owner knew.
    this->unresponsive_workers.Step(now);
    this->quota.Step(std::chrono::system_clock::now(), now);
  }
  this->Flush();
  this->MoveEndedJobs(now);
  this->step_ended = ReadBootClock();
  this->last_step = this->step_ended - now;
  this->LogGivenUpRuns();
  this->monitor.RecordStep(now, this->step_ended);
  this->monitor.Report(this->state, this->loaded_once, now);
  this->FinishDrain();
}

auto ShardTask::MoveEndedJobs(TimePoint now) -> void {
  // While the tables are read again, the result may contain rows that were read
  // before a move, so nothing is moved meanwhile.
  if (this->loaded && !this->draining) {
    this->ended_jobs.Step(this->flushing || !this->state.dirty.empty(), now,
                          std::chrono::system_clock::now());
  }
}

auto ShardTask::PlanAndOrder(TimePoint now) -> void {
  // Jobs may have been cancelled since the last answer of the feed, so nothing
  // is started on outdated information.
  const bool current = now - this->monitor.FeedAt() <= kFeedTimeout;
  if (!this->draining && current && this->draining_known) {
    EvictLongRunning(this->state, now);
    PlanRuns(this->state, std::chrono::system_clock::now(), now);
  }
  this->SendStops();
  this->paces.Step(now);
  this->PollWorkers();
  this->publisher.Publish(this->state, this->monitor.FeedAt(), now);
  const std::vector<WorkerId> drained_workers = DrainedWorkers(this->state);
  if (!drained_workers.empty()) {
    this->environment.on_drained(drained_workers);
  }
}

auto ShardTask::FinishDrain() -> void {
  if (this->draining && this->drain_callback && !this->flushing &&
      this->state.dirty.empty()) {
    std::exchange(this->drain_callback, nullptr)();
  }
}

auto ShardTask::Flush() -> void {
  if (this->flushing || this->state.dirty.empty()) {
    return;
  }
  const TimePoint now = ReadBootClock();
  if (!this->draining && now - this->flushed_at < kFlushPeriod) {
    this->flush_timer.Start(std::chrono::ceil<milliseconds>(
        kFlushPeriod - (now - this->flushed_at)));
    return;
  }
  this->flushed_at = now;
  const RecordBatch batch = TakeBatch(this->state, kJobsPerTransaction);
  const std::string& store_part = this->state.shard.value;
  Transaction transaction;
  transaction.conditions.push_back(
      OwnerCondition(this->state.shard, this->state.fence));
  for (const JobRecord& record : batch.records) {
    transaction.conditions.push_back({std::string(kProgressTable),
                                      record.job.value, record.version,
                                      store_part});
    transaction.writes.push_back({std::string(kProgressTable), record.job.value,
                                  record.value, store_part});
  }
  this->flushing = true;
  const TimePoint sent_at = ReadBootClock();
  this->environment.store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard(
          [this, batch, sent_at](const TransactionOutcome& outcome) {
            this->flushing = false;
            this->ApplyFlushOutcome(batch, outcome, sent_at);
            this->Wake();
          }));
}

auto ShardTask::ApplyFlushOutcome(const RecordBatch& batch,
                                  const TransactionOutcome& outcome,
                                  TimePoint sent_at) -> void {
  this->monitor.RecordStoreTime(ReadBootClock() - sent_at);
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    this->LogFinished(batch, committed->revision);
    const std::vector<StartCommand> starts =
        ApplyStored(this->state, batch, committed->revision, ReadBootClock());
    for (const StartCommand& start : starts) {
      this->SendStart(start, sent_at);
    }
    return;
  }
  ApplyNotStored(this->state, batch);
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    this->ApplyConflict(batch, *conflict);
    return;
  }
  this->environment.logger.Warning(
      "shard", "progress_not_stored",
      {{"shard", this->state.shard}, {"jobs", batch.records.size()}});
}

auto ShardTask::LogFinished(const RecordBatch& batch, std::uint64_t revision)
    -> void {
  for (const JobRecord& record : batch.records) {
    const auto job = this->state.jobs.find(record.job);
    if (job == this->state.jobs.end() || !IsFinal(job->second.progress.state) ||
        this->state.dirty.contains(record.job)) {
      continue;
    }
    this->run_log.RecordFinished(record.job, job->second.progress.state,
                                 revision);
  }
}

auto ShardTask::ApplyConflict(const RecordBatch& batch,
                              const Conflict& conflict) -> void {
  if (HasNewerFence(conflict, this->state.fence)) {
    this->state.fenced_off = true;
  }
  for (const Row& row : conflict.current) {
    const auto job = this->state.jobs.find(JobId(row.key));
    if (row.table == kProgressTable && job != this->state.jobs.end()) {
      // An earlier transaction whose answer was lost took effect.
      job->second.version = row.version;
    }
  }
  this->environment.logger.Warning("shard", "progress_conflict",
                                   {{"shard", this->state.shard},
                                    {"jobs", batch.records.size()},
                                    {"fenced", this->state.fenced_off}});
  this->CheckFence();
}

auto ShardTask::SendStart(const StartCommand& start, TimePoint stored_at)
    -> void {
  if (this->closed) {
    return;
  }
  // Checked directly before each start, as the process may have been paused
  // since the run was stored, and another entry may own the shard by now.
  const TimePoint now = ReadBootClock();
  if (now - stored_at >= kStartValidity) {
    this->environment.logger.Warning(
        "shard", "start_withheld",
        {{"shard", this->state.shard}, {"worker", start.worker}});
    ApplyWithheldStart(this->state, start, now);
    return;
  }
  this->environment.workers.Start(
      start, kOrderTimeout,
      this->alive.Guard([this, start](const OrderReply& reply) {
        this->monitor.RecordStart();
        this->run_log.RecordStart(start, reply);
        ApplyStartReply(this->state, start, reply, ReadBootClock());
        this->CheckFence();
        this->Wake();
      }));
}

auto ShardTask::SendStops() -> void {
  for (const StopCommand& stop : NextStops(this->state, ReadBootClock())) {
    this->SendStop(stop);
  }
}

auto ShardTask::SendStop(const StopCommand& stop) -> void {
  this->environment.workers.Stop(
      stop, kOrderTimeout,
      this->alive.Guard([this, stop](const OrderReply& reply) {
        this->run_log.RecordStop(stop, reply);
        ApplyStopReply(this->state, stop, reply, ReadBootClock());
        this->CheckFence();
        this->Wake();
      }));
}

auto ShardTask::CheckFence() -> void {
  if (this->state.fenced_off) {
    this->environment.on_fenced(this->state.shard);
  }
}

}  // namespace fireflythread
