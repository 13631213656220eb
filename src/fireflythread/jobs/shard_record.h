#ifndef FIREFLYTHREAD_JOBS_SHARD_RECORD_H_
#define FIREFLYTHREAD_JOBS_SHARD_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/record_batch.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/start_command.h"

namespace fireflythread {

/// Takes progress rows to store off the dirty jobs, at most `max_jobs` and
/// as many bytes as a transaction takes, in rotation. Empty when nothing is to
/// be stored. No other batch may be on its way.
[[nodiscard]] auto TakeBatch(ShardState& state, std::size_t max_jobs)
    -> RecordBatch;

/// A batch was stored with this version. Gives the starts that may be sent
/// now.
[[nodiscard]] auto ApplyStored(ShardState& state,
                               const RecordBatch& batch,
                               std::uint64_t version,
                               TimePoint now) -> std::vector<StartCommand>;

/// A batch was not stored, or not certainly; its jobs are dirty again.
auto ApplyNotStored(ShardState& state, const RecordBatch& batch) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_RECORD_H_
