#ifndef FIREFLYTHREAD_JOBS_SHARD_RECORD_H_
#define FIREFLYTHREAD_JOBS_SHARD_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/record_batch.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/start_command.h"

namespace fireflythread {

/// Removes up to `max_jobs` jobs from the dirty ones, in rotation and limited
/// by the size of a transaction, and returns their progress rows. The result is
/// empty when nothing is to be stored. No other batch may be in flight.
[[nodiscard]] auto TakeBatch(ShardState& state, std::size_t max_jobs)
    -> RecordBatch;

/// Applies the result of a batch that was stored with this version. Returns the
/// starts that may be sent now.
[[nodiscard]] auto ApplyStored(ShardState& state,
                               const RecordBatch& batch,
                               std::uint64_t version,
                               TimePoint now) -> std::vector<StartCommand>;

/// Applies the result of a batch that was not stored or whose outcome is
/// unknown: its jobs are dirty again.
auto ApplyNotStored(ShardState& state, const RecordBatch& batch) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_RECORD_H_
