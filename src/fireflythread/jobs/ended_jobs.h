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

/// Takes in a stored cancellation. One whose job has ended has no effect; its
/// row is removed with those of the job, or after them.
auto ApplyCancelRow(ShardState& state,
                    const JobId& id,
                    std::uint64_t version,
                    TimePoint now) -> void;

/// Whether the next batch of moves may be sent. `progress_waits` says that
/// records of running work wait for the store.
[[nodiscard]] auto IsMoveDue(const ShardState& state,
                             const EndedTransaction& last_transaction,
                             bool progress_waits,
                             TimePoint now) -> bool;

/// Whether old rows of the table of ended jobs may be removed.
[[nodiscard]] auto IsRemovalDue(const EndedTransaction& last_transaction,
                                bool progress_waits,
                                TimePoint now) -> bool;

/// The next moves that fit into one transaction. They stay to be done until
/// ApplyMoved() or ApplyMoveConflict() says otherwise, so that a batch whose
/// outcome is unknown is tried again.
[[nodiscard]] auto NextEndedBatch(const ShardState& state) -> EndedBatch;

/// Moves the rows of ended jobs to the table of ended jobs and removes stray
/// cancellations.
[[nodiscard]] auto MakeMoveTransaction(const ShardState& state,
                                       const EndedBatch& batch,
                                       WallTime wall_now) -> Transaction;

/// A batch was stored.
auto ApplyMoved(ShardState& state,
                const EndedBatch& batch,
                std::uint64_t revision,
                TimePoint now) -> void;

/// A batch was not stored because rows differ. A progress row that is gone was
/// moved by an earlier transaction whose answer was lost.
auto ApplyMoveConflict(ShardState& state,
                       const Conflict& conflict,
                       TimePoint now) -> void;

/// Forgets jobs whose rows were moved so long ago that the feed cannot deliver
/// them any more.
auto ForgetMoved(ShardState& state, TimePoint now) -> void;

/// Removes rows of the table of ended jobs.
[[nodiscard]] auto MakeRemovalTransaction(const ShardState& state,
                                          const std::vector<Row>& rows)
    -> Transaction;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_JOBS_H_
