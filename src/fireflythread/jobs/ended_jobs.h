#ifndef FIREFLYTHREAD_JOBS_ENDED_JOBS_H_
#define FIREFLYTHREAD_JOBS_ENDED_JOBS_H_

#include <cstdint>
#include <vector>

#include "fireflythread/jobs/ended_batch.h"
#include "fireflythread/jobs/ended_transaction.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {

/// Applies a stored cancellation. It has no effect on a job that has ended; its
/// row is removed together with the job's rows, or later as an orphaned
/// cancellation.
auto ApplyCancelRow(ShardState& state,
                    const JobId& id,
                    std::uint64_t version,
                    TimePoint now) -> void;

/// Returns whether the next batch of moves may be sent. `progress_waits` is
/// true while progress of running work waits to be stored.
[[nodiscard]] auto IsMoveDue(const ShardState& state,
                             const EndedTransaction& last_transaction,
                             bool progress_waits,
                             TimePoint now) -> bool;

/// Returns whether expired rows of the table of ended jobs may be removed.
[[nodiscard]] auto IsRemovalDue(const EndedTransaction& last_transaction,
                                bool progress_waits,
                                TimePoint now) -> bool;

/// Returns the next moves and removals of orphaned cancellations that fit into
/// one transaction. They stay pending until ApplyMoved() or ApplyMoveConflict()
/// confirms them, so that a batch whose outcome is unknown is retried.
[[nodiscard]] auto NextEndedBatch(const ShardState& state) -> EndedBatch;

/// Makes the transaction that moves the rows of ended jobs to the table of
/// ended jobs and removes orphaned cancellations.
[[nodiscard]] auto MakeMoveTransaction(const ShardState& state,
                                       const EndedBatch& batch,
                                       WallTime wall_now) -> Transaction;

/// Applies the result of a batch that was stored at `revision`.
auto ApplyMoved(ShardState& state,
                const EndedBatch& batch,
                std::uint64_t revision,
                TimePoint now) -> void;

/// Applies the conflict of a batch that was not stored. A progress row that no
/// longer exists was moved by an earlier transaction whose answer was lost.
auto ApplyMoveConflict(ShardState& state,
                       const Conflict& conflict,
                       TimePoint now) -> void;

/// Forgets jobs whose rows were moved so long ago that the feed cannot deliver
/// them any more.
auto ForgetMoved(ShardState& state, TimePoint now) -> void;

/// Makes the transaction that removes rows from the table of ended jobs.
[[nodiscard]] auto MakeRemovalTransaction(const ShardState& state,
                                          const std::vector<Row>& rows)
    -> Transaction;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_JOBS_H_
