#ifndef FIREFLYTHREAD_JOBS_SHARD_SUMMARY_H_
#define FIREFLYTHREAD_JOBS_SHARD_SUMMARY_H_

#include <cstdint>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// Figures about a shard at one moment, as its owner sees it.
struct ShardSummary {
  int open_jobs = 0;
  /// Open jobs of which no task has run.
  int waiting_jobs = 0;
  /// Tasks whose newest run may exist.
  int assigned_tasks = 0;
  int workers = 0;
  /// Workers that may get starts now, and those that may not, by cause. A
  /// worker with several causes counts for the first.
  int usable = 0;
  int not_listed = 0;
  int not_confirmed = 0;
  int leaving = 0;
  int not_answering = 0;
  int paused = 0;
  std::int64_t used_millicores = 0;
  std::int64_t usable_millicores = 0;
  /// Age of the oldest among the latest reports of workers with runs.
  Duration oldest_report{0};
};

[[nodiscard]] auto SummarizeShard(const ShardState& state, TimePoint now)
    -> ShardSummary;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_SHARD_SUMMARY_H_
