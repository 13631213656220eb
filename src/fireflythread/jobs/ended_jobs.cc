#include "fireflythread/jobs/ended_jobs.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Maximum number of entries of a transaction, some less than the store
/// accepts. The fence condition is one of them.
constexpr std::size_t kMaxEntries = 96;

/// A move has a condition on the progress row, removes it and the job's row and
/// writes the ended job's row; it may also remove a cancellation.
constexpr std::size_t kEntriesPerMove = 5;

/// An orphaned cancellation has conditions on its own row and on the absence of
/// the job's row, and removes its own row.
constexpr std::size_t kEntriesPerOrphan = 3;

constexpr std::size_t kMovesPerBatch = (kMaxEntries - 1) / kEntriesPerMove;

/// Time between two full batches: 95 jobs a second, in five of the 250
/// transactions that a part commits in a second.
constexpr milliseconds kFullBatchPause{200};

/// Time between two batches that are not full, so that jobs that end one by one
/// share a transaction.
constexpr milliseconds kBatchPause{1000};

/// While progress is waiting, the time between moves is at least this many
/// times the duration of the last one. Without any moves, a new owner would
/// inherit the rows of a whole peak.
constexpr int kBusyPauseFactor = 20;

/// Minimum time that a moved job is remembered. The feed's revision alone would
/// suffice if no page showed rows older than the revision it names.
constexpr std::chrono::minutes kMovedRetention{2};

auto AddMove(const ShardState& state,
             const EndedMove& move,
             WallTime wall_now,
             Transaction& transaction) -> void {
  const std::string& part = state.shard.value;
  const std::string table = JobTable(state.shard);
  const std::string& id = move.job.value;
  transaction.conditions.push_back(
      {std::string(kProgressTable), id, move.version, part});
  transaction.writes.push_back(
      {std::string(kEndedTable), id,
       EncodeEndedJob({move.state, wall_now, move.organisation}), part});
  transaction.writes.push_back(
      {std::string(kProgressTable), id, std::nullopt, part});
  transaction.writes.push_back({table, JobKey(move.job), std::nullopt, part});
  if (move.cancel_version > 0) {
    transaction.writes.push_back(
        {table, CancelKey(move.job), std::nullopt, part});
  }
}

auto AddOrphanedCancel(const ShardState& state,
                       const OrphanedCancel& orphan,
                       Transaction& transaction) -> void {
  const std::string& part = state.shard.value;
  const std::string table = JobTable(state.shard);
  const std::string key = CancelKey(orphan.job);
  transaction.conditions.push_back({table, JobKey(orphan.job), 0, part});
  transaction.conditions.push_back({table, key, orphan.version, part});
  transaction.writes.push_back({table, key, std::nullopt, part});
}

/// Records that a job's rows were moved. `removed_cancel` is the version of the
/// cancellation that was removed with them, 0 for none.
auto RecordMoved(ShardState& state,
                 const JobId& id,
                 std::uint64_t removed_cancel,
                 std::uint64_t revision,
                 TimePoint now) -> void {
  const auto found = state.finished.find(id);
  if (found == state.finished.end() || state.unmoved.erase(id) == 0) {
    return;
  }
  state.moved.push_back({id, now, revision});
  if (found->second.cancel_version > removed_cancel) {
    state.orphaned_cancels[id] = found->second.cancel_version;
  }
}

auto ApplyProgressConflict(ShardState& state, const Row& row, TimePoint now)
    -> void {
  const JobId id(row.key);
  const auto found = state.finished.find(id);
  if (found == state.finished.end()) {
    return;
  }
  if (row.version == 0) {
    RecordMoved(state, id, 0, 0, now);
  } else {
    found->second.version = row.version;
  }
}

auto ApplyOrphanConflict(ShardState& state, const Row& row) -> void {
  const auto key = ParseJobTableKey(row.key);
  if (!key) {
    return;
  }
  const auto orphan = state.orphaned_cancels.find(key->job);
  if (orphan == state.orphaned_cancels.end()) {
    return;
  }
  if (key->is_cancel && row.version > 0) {
    orphan->second = row.version;
  } else {
    // The cancellation was removed, or its job exists.
    state.orphaned_cancels.erase(orphan);
  }
}

}  // namespace

auto ApplyCancelRow(ShardState& state,
                    const JobId& id,
                    std::uint64_t version,
                    TimePoint now) -> void {
  const auto job = state.jobs.find(id);
  if (job != state.jobs.end()) {
    job->second.cancel_version = version;
    CancelJob(state, id, now);
    return;
  }
  const auto finished = state.finished.find(id);
  if (finished != state.finished.end() && state.unmoved.contains(id)) {
    finished->second.cancel_version = version;
    return;
  }
  state.orphaned_cancels[id] = version;
}

auto IsMoveDue(const ShardState& state,
               const EndedTransaction& last_transaction,
               bool progress_waits,
               TimePoint now) -> bool {
  if (state.unmoved.empty() && state.orphaned_cancels.empty()) {
    return false;
  }
  Duration pause = kBatchPause;
  if (progress_waits) {
    pause = std::max<Duration>(kBatchPause,
                               kBusyPauseFactor * last_transaction.took);
  } else if (state.unmoved.size() >= kMovesPerBatch) {
    pause = kFullBatchPause;
  }
  return now - last_transaction.sent_at >= pause;
}

auto IsRemovalDue(const EndedTransaction& last_transaction,
                  bool progress_waits,
                  TimePoint now) -> bool {
  return !progress_waits && now - last_transaction.sent_at >= kFullBatchPause;
}

auto NextEndedBatch(const ShardState& state) -> EndedBatch {
  EndedBatch batch;
  std::size_t entries = 1;
  for (const JobId& id : state.unmoved) {
    if (entries + kEntriesPerMove > kMaxEntries) {
      break;
    }
    const FinishedJob& job = state.finished.at(id);
    batch.moves.push_back(
        {id, job.state, job.version, job.cancel_version, job.organisation});
    entries += kEntriesPerMove;
  }
  for (const auto& [id, version] : state.orphaned_cancels) {
    if (entries + kEntriesPerOrphan > kMaxEntries) {
      break;
    }
    batch.cancels.push_back({id, version});
    entries += kEntriesPerOrphan;
  }
  return batch;
}

auto MakeMoveTransaction(const ShardState& state,
                         const EndedBatch& batch,
                         WallTime wall_now) -> Transaction {
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(state.shard, state.fence));
  for (const EndedMove& move : batch.moves) {
    AddMove(state, move, wall_now, transaction);
  }
  for (const OrphanedCancel& orphan : batch.cancels) {
    AddOrphanedCancel(state, orphan, transaction);
  }
  return transaction;
}

auto ApplyMoved(ShardState& state,
                const EndedBatch& batch,
                std::uint64_t revision,
                TimePoint now) -> void {
  // Moves whose answers were lost took effect before this one.
  for (auto moved = state.moved.rbegin();
       moved != state.moved.rend() && moved->revision == 0; ++moved) {
    moved->revision = revision;
  }
  for (const OrphanedCancel& orphan : batch.cancels) {
    const auto found = state.orphaned_cancels.find(orphan.job);
    if (found != state.orphaned_cancels.end() &&
        found->second == orphan.version) {
      state.orphaned_cancels.erase(found);
    }
  }
  for (const EndedMove& move : batch.moves) {
    RecordMoved(state, move.job, move.cancel_version, revision, now);
  }
}

auto ApplyMoveConflict(ShardState& state,
                       const Conflict& conflict,
                       TimePoint now) -> void {
  for (const Row& row : conflict.current) {
    if (row.table == kFenceTable) {
      state.fenced_off = state.fenced_off || row.version != state.fence;
    } else if (row.table == kProgressTable) {
      ApplyProgressConflict(state, row, now);
    } else {
      ApplyOrphanConflict(state, row);
    }
  }
}

auto ForgetMoved(ShardState& state, TimePoint now) -> void {
  while (!state.moved.empty()) {
    const MovedJob& oldest = state.moved.front();
    const bool passed =
        oldest.revision > 0 && oldest.revision <= state.feed_revision;
    if (!passed || now - oldest.moved_at < kMovedRetention) {
      return;
    }
    state.finished.erase(oldest.job);
    state.moved.pop_front();
  }
}

auto MakeRemovalTransaction(const ShardState& state,
                            const std::vector<Row>& rows) -> Transaction {
  const std::string& part = state.shard.value;
  Transaction transaction;
  transaction.conditions.push_back(OwnerCondition(state.shard, state.fence));
  for (const Row& row : rows) {
    transaction.conditions.push_back(
        {std::string(kEndedTable), row.key, row.version, part});
    transaction.writes.push_back(
        {std::string(kEndedTable), row.key, std::nullopt, part});
  }
  return transaction;
}

}  // namespace fireflythread
