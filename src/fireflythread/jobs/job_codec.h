#ifndef FIREFLYTHREAD_JOBS_JOB_CODEC_H_
#define FIREFLYTHREAD_JOBS_JOB_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/ended_job.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"

namespace fireflythread {

/// The value of a job's row, JSON. Members of a step that have their default
/// values are left out.
[[nodiscard]] auto EncodeJobRequest(const JobRequest& job) -> std::string;

/// No value when the text is not what EncodeJobRequest() writes. Rows of
/// earlier programs, with all members of each step, are readable too.
[[nodiscard]] auto DecodeJobRequest(const JobId& id, std::string_view text)
    -> std::optional<JobRequest>;

/// The value of a job's progress row, JSON. Holds the stored members of each
/// task only.
[[nodiscard]] auto EncodeJobProgress(const JobProgress& progress)
    -> std::string;

/// No value when the text is unreadable or has not `task_count` tasks.
[[nodiscard]] auto DecodeJobProgress(std::string_view text,
                                     std::size_t task_count)
    -> std::optional<JobProgress>;

/// The value of a row in the table of ended jobs, JSON.
[[nodiscard]] auto EncodeEndedJob(const EndedJob& ended) -> std::string;

/// No value when the text is unreadable or the state is not final.
[[nodiscard]] auto DecodeEndedJob(std::string_view text)
    -> std::optional<EndedJob>;

/// Reads only the state of a progress row.
[[nodiscard]] auto DecodeJobState(std::string_view text)
    -> std::optional<JobState>;

/// "queued", "running", "completed", "failed" or "cancelled".
[[nodiscard]] auto JobStateName(JobState state) -> std::string_view;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_CODEC_H_
