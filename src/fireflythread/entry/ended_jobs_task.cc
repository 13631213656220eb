#include "fireflythread/entry/ended_jobs_task.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/ended_jobs.h"
#include "fireflythread/jobs/job_tables.h"

namespace fireflythread {
namespace {

/// Upper limit of the rows removed in one transaction. A transaction holds at
/// most 100 entries; each removed row takes two and the fence one.
constexpr std::size_t kRowsPerRemoval = 45;

}  // namespace

EndedJobsTask::EndedJobsTask(TableStore& table_store,
                             const Logger& log,
                             ShardState& shard_state,
                             std::function<void()> fenced)
    : store(table_store),
      logger(log),
      state(shard_state),
      on_fenced(std::move(fenced)) {}

auto EndedJobsTask::Step(bool progress_waits, TimePoint now, WallTime wall_now)
    -> void {
  ForgetMoved(this->state, now);
  if (this->sending) {
    return;
  }
  if (IsMoveDue(this->state, this->last_transaction, progress_waits, now)) {
    this->SendMoves(now, wall_now);
  } else if (!this->scan.expired.empty() &&
             IsRemovalDue(this->last_transaction, progress_waits, now)) {
    this->SendRemovals(now);
  } else if (!this->reading && IsPageDue(this->scan, now)) {
    this->ReadPage(now, wall_now);
  }
}

auto EndedJobsTask::RecordAnswer(TimePoint sent_at) -> void {
  this->sending = false;
  this->last_transaction.took =
      std::max(ReadBootClock() - sent_at, Duration{0});
}

auto EndedJobsTask::SendMoves(TimePoint now, WallTime wall_now) -> void {
  EndedBatch batch = NextEndedBatch(this->state);
  Transaction transaction = MakeMoveTransaction(this->state, batch, wall_now);
  this->sending = true;
  this->last_transaction.sent_at = now;
  this->store.Commit(std::move(transaction), kStoreTimeout,
                     this->alive.Guard([this, now, sent = std::move(batch)](
                                           const TransactionOutcome& outcome) {
                       this->ApplyMoveOutcome(sent, outcome, now);
                     }));
}

auto EndedJobsTask::ApplyMoveOutcome(const EndedBatch& batch,
                                     const TransactionOutcome& outcome,
                                     TimePoint sent_at) -> void {
  this->RecordAnswer(sent_at);
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    ApplyMoved(this->state, batch, committed->revision, sent_at);
    return;
  }
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    ApplyMoveConflict(this->state, *conflict, sent_at);
  }
  this->logger.Warning("shard", "ended_jobs_not_moved",
                       {{"shard", this->state.shard},
                        {"jobs", batch.moves.size()},
                        {"fenced", this->state.fenced_off}});
  if (this->state.fenced_off) {
    this->on_fenced();
  }
}

auto EndedJobsTask::SendRemovals(TimePoint now) -> void {
  const std::vector<Row> rows = TakeExpiredRows(this->scan, kRowsPerRemoval);
  Transaction transaction = MakeRemovalTransaction(this->state, rows);
  this->sending = true;
  this->last_transaction.sent_at = now;
  this->store.Commit(std::move(transaction), kStoreTimeout,
                     this->alive.Guard([this, now](const TransactionOutcome&) {
                       // A later scan finds rows that were not removed.
                       this->RecordAnswer(now);
                     }));
}

auto EndedJobsTask::ReadPage(TimePoint now, WallTime wall_now) -> void {
  RangeRequest range{std::string(kEndedTable), this->state.shard.value,
                     this->scan.from};
  this->reading = true;
  this->store.ReadRange(std::move(range), kStoreTimeout,
                        this->alive.Guard([this, now, wall_now](auto&& result) {
                          this->reading = false;
                          const auto* page = std::get_if<RangePage>(&result);
                          ApplyEndedPage(this->scan,
                                         page == nullptr ? RangePage{} : *page,
                                         now, wall_now);
                        }));
}

}  // namespace fireflythread
