#ifndef FIREFLYTHREAD_ENTRY_ENDED_JOBS_TASK_H_
#define FIREFLYTHREAD_ENTRY_ENDED_JOBS_TASK_H_

#include <functional>

#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/jobs/ended_batch.h"
#include "fireflythread/jobs/ended_scan.h"
#include "fireflythread/jobs/ended_transaction.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Moves the rows of a shard's ended jobs to the table of ended jobs, which a
/// new owner does not read, and removes old rows there. At most one transaction
/// is in flight.
class EndedJobsTask {
 public:
  /// `on_fenced` is called when a newer owner exists.
  EndedJobsTask(TableStore& store,
                const Logger& logger,
                ShardState& state,
                std::function<void()> on_fenced);
  EndedJobsTask(const EndedJobsTask&) = delete;
  auto operator=(const EndedJobsTask&) -> EndedJobsTask& = delete;

  /// Sends the next move, removal or read if it is due. `progress_waits` tells
  /// that progress of running jobs is being stored or waits to be stored.
  auto Step(bool progress_waits, TimePoint now, WallTime wall_now) -> void;

 private:
  auto SendMoves(TimePoint now, WallTime wall_now) -> void;
  auto ApplyMoveOutcome(const EndedBatch& batch,
                        const TransactionOutcome& outcome,
                        TimePoint sent_at) -> void;
  auto SendRemovals(TimePoint now) -> void;
  auto ReadPage(TimePoint now, WallTime wall_now) -> void;
  auto RecordAnswer(TimePoint sent_at) -> void;

  TableStore& store;
  const Logger& logger;
  ShardState& state;
  std::function<void()> on_fenced;
  EndedTransaction last_transaction;
  EndedScan scan;
  bool sending = false;
  bool reading = false;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_ENDED_JOBS_TASK_H_
