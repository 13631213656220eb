#ifndef FIREFLYTHREAD_JOBS_JOB_CODEC_H_
#define FIREFLYTHREAD_JOBS_JOB_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/ended_job.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/job_progress.h"
#include "fireflythread/jobs/job_request.h"

namespace fireflythread {

/// Encodes the value of a job's row as JSON. Members of a step that have their
/// default values are omitted.
[[nodiscard]] auto EncodeJobRequest(const JobRequest& job) -> std::string;

/// Decodes the value of a job's row. Also reads rows of earlier versions, which
/// list all members of each step. Returns no value when the text is unreadable.
[[nodiscard]] auto DecodeJobRequest(const JobId& id, std::string_view text)
    -> std::optional<JobRequest>;

/// Encodes the value of a job's progress row as JSON, with only the persistent
/// members of each task. The organisation is that of the job, empty for none.
[[nodiscard]] auto EncodeJobProgress(const JobProgress& progress,
                                     const OrganisationName& organisation = {})
    -> std::string;

/// Decodes the value of a progress row. Returns no value when the text is
/// unreadable or does not have `task_count` tasks.
[[nodiscard]] auto DecodeJobProgress(std::string_view text,
                                     std::size_t task_count)
    -> std::optional<JobProgress>;

/// Encodes the value of a row in the table of ended jobs as JSON.
[[nodiscard]] auto EncodeEndedJob(const EndedJob& ended) -> std::string;

/// Decodes the value of a row in the table of ended jobs. Returns no value for
/// a cancel tombstone, and when the text is unreadable or the state is not
/// final.
[[nodiscard]] auto DecodeEndedJob(std::string_view text)
    -> std::optional<EndedJob>;

/// Decodes only the time of a row in the table of ended jobs, of a job or of a
/// cancel tombstone. Returns no value when the text is unreadable.
[[nodiscard]] auto DecodeEndedTime(std::string_view text)
    -> std::optional<WallTime>;

/// Decodes only the state of a progress row. Returns no value when the text is
/// unreadable.
[[nodiscard]] auto DecodeJobState(std::string_view text)
    -> std::optional<JobState>;

/// Returns the organisation of the job that a row of any of the job tables
/// belongs to; empty for none and when the text is unreadable.
[[nodiscard]] auto DecodeRowOrganisation(std::string_view text)
    -> OrganisationName;

/// Returns "queued", "running", "completed", "failed" or "cancelled".
[[nodiscard]] auto JobStateName(JobState state) -> std::string_view;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_CODEC_H_
