#ifndef FIREFLYTHREAD_JOBS_JOB_REQUEST_H_
#define FIREFLYTHREAD_JOBS_JOB_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/job_step.h"
#include "fireflythread/jobs/queue_terms.h"

namespace fireflythread {

/// A job as its caller submitted it. It does not change after it was accepted.
struct JobRequest {
  JobId id;
  /// Empty for a job that an earlier version of the program accepted.
  QueueId queue;
  /// The queue's name when the job was accepted.
  QueueName queue_name;
  /// Organisation of the caller. Empty for a job of a public queue, of a
  /// configuration without organisations or of an earlier version of the
  /// program.
  OrganisationName organisation;
  /// Opaque input that is passed to every task.
  std::string spec;
  std::vector<JobStep> steps;
  /// Number of occurrences of a scheduled job; 0 for a job that runs once and
  /// immediately.
  int repeat_count = 0;
  WallTime first_due;
  std::chrono::milliseconds interval{0};
  WallTime accepted_at;
  /// The terms of the queue when the job was accepted; empty for a job that an
  /// earlier version of the program accepted.
  std::optional<QueueTerms> terms;
};

/// Returns how many times the steps run: at least 1.
[[nodiscard]] inline auto OccurrenceCount(const JobRequest& job) -> int {
  return job.repeat_count > 0 ? job.repeat_count : 1;
}

/// Returns the earliest start time of an occurrence.
[[nodiscard]] inline auto DueAt(const JobRequest& job, int occurrence)
    -> WallTime {
  if (job.repeat_count <= 0) {
    return WallTime{};
  }
  return job.first_due + occurrence * job.interval;
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_REQUEST_H_
