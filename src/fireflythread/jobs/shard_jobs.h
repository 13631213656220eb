#ifndef FIREFLYTHREAD_JOBS_SHARD_JOBS_H_
#define FIREFLYTHREAD_JOBS_SHARD_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Takes in an accepted job, with its progress row if there is one. Runs that
/// a former owner recorded are unresolved until their workers report. A job
/// already known is left alone.
auto AddJob(ShardState& state,
            JobRequest request,
            std::optional<JobProgress> progress,
            std::uint64_t version,
            TimePoint now) -> void;

/// Takes in a stored cancellation. A job that has ended stays as it ended.
auto CancelJob(ShardState& state, const JobId& id, TimePoint now) -> void;

/// Ends a job and stops what still runs of it.
auto FinishJob(ShardState& state,
               const JobId& id,
               JobState final_state,
               TimePoint now) -> void;

/// Cores that keep up with the jobs that were accepted lately, in thousandths.
[[nodiscard]] auto ArrivingMillicores(ShardState& state, TimePoint now)
    -> std::int64_t;

/// Jobs of each queue of which no task has run.
[[nodiscard]] auto CountWaiting(const ShardState& state)
    -> std::map<QueueName, int>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_JOBS_H_
