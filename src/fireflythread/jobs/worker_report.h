#ifndef FIREFLYTHREAD_JOBS_WORKER_REPORT_H_
#define FIREFLYTHREAD_JOBS_WORKER_REPORT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

enum class RunResult : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  /// The worker's lease expired.
  kLeaseExpired,
  /// Another member of the gang has ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete
};

/// Returns "done", "failed" and so on, for logs.
[[nodiscard]] auto RunResultName(RunResult end) -> std::string_view;

struct RunningRun {
  TaskName task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
  /// Tail latency in milliseconds of a serving task, millicores of another.
  std::int64_t usage = 0;
};

struct RunCompletion {
  /// Sequence number of the completion in its worker's incarnation, from 1.
  std::uint64_t number = 0;
  TaskName task;
  int run = 0;
  RunResult end = RunResult::kStopped;
  std::string checkpoint;
};

/// A worker's report of its runs. Times are on the worker's own clock.
struct WorkerReport {
  std::chrono::milliseconds clock{0};
  std::chrono::milliseconds started_at{0};
  std::vector<RunningRun> running;
  std::vector<RunCompletion> ended;
  /// The report lists all runs and all completions. Of a run that an incomplete
  /// report does not list, nothing is known.
  bool complete = true;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_REPORT_H_
