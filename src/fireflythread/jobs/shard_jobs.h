#ifndef FIREFLYTHREAD_JOBS_SHARD_JOBS_H_
#define FIREFLYTHREAD_JOBS_SHARD_JOBS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Adds an accepted job, with its progress row if there is one. Runs that a
/// former owner recorded are unresolved until their workers report. Has no
/// effect when the job is already known.
auto AddJob(ShardState& state,
            JobRequest request,
            std::optional<JobProgress> progress,
            std::uint64_t version,
            TimePoint now) -> void;

/// Applies a stored cancellation. Has no effect on a job that has ended.
auto CancelJob(ShardState& state, const JobId& id, TimePoint now) -> void;

/// Sets the final state of a job and stops its remaining runs.
auto FinishJob(ShardState& state,
               const JobId& id,
               JobState final_state,
               TimePoint now) -> void;

/// Returns the capacity, in thousandths of a core, that keeps up with the
/// recent arrival rate of jobs.
[[nodiscard]] auto ArrivingMillicores(ShardState& state, TimePoint now)
    -> std::int64_t;

/// Returns the number of jobs of each queue none of whose tasks has run.
[[nodiscard]] auto CountWaiting(const ShardState& state)
    -> std::map<QueueId, int>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_JOBS_H_
