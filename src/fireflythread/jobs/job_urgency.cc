#include "fireflythread/jobs/job_urgency.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/queue.h"
#include "fireflythread/jobs/shard_job.h"

namespace fireflythread {

using std::chrono::milliseconds;

auto RemainingChain(const JobRequest& job, int first) -> milliseconds {
  std::vector<milliseconds> chains(job.steps.size());
  milliseconds longest{0};
  for (auto step = static_cast<std::size_t>(first); step < job.steps.size();
       ++step) {
    milliseconds before{0};
    for (const int earlier : job.steps[step].after) {
      before = std::max(before, chains[static_cast<std::size_t>(earlier)]);
    }
    chains[step] = before + job.steps[step].estimate;
    longest = std::max(longest, chains[step]);
  }
  return longest;
}

auto DeadlineOf(const ShardJob& job, const Queue& queue, int occurrence)
    -> WallTime {
  const WallTime begin =
      std::max(DueAt(job.request, occurrence), job.request.accepted_at);
  const double work = static_cast<double>(job.remaining_chains.front().count());
  const milliseconds stretched(static_cast<std::int64_t>(work * queue.stretch));
  return begin + stretched + queue.latency_objective;
}

}  // namespace fireflythread
