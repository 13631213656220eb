#include "fireflythread/jobs/job_urgency.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/shard_job.h"

namespace fireflythread {

using std::chrono::milliseconds;

auto RemainingCriticalPath(const JobRequest& job, int first) -> milliseconds {
  std::vector<milliseconds> path_lengths(job.steps.size());
  milliseconds longest{0};
  for (auto step = static_cast<std::size_t>(first); step < job.steps.size();
       ++step) {
    milliseconds before{0};
    for (const int earlier : job.steps[step].after) {
      before =
          std::max(before, path_lengths[static_cast<std::size_t>(earlier)]);
    }
    path_lengths[step] = before + job.steps[step].estimate;
    longest = std::max(longest, path_lengths[step]);
  }
  return longest;
}

auto DeadlineOf(const ShardJob& job, const QueueTerms& terms, int occurrence)
    -> WallTime {
  const WallTime begin =
      std::max(DueAt(job.request, occurrence), job.request.accepted_at);
  const double work =
      static_cast<double>(job.remaining_critical_paths.front().count());
  const milliseconds stretched(static_cast<std::int64_t>(work * terms.stretch));
  return begin + stretched + terms.latency_objective;
}

}  // namespace fireflythread
