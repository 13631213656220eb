#include "fireflythread/tasks/worker_failures.h"

namespace fireflythread {

auto RecordTaskFailure(WorkerFailures& worker,
                       const TaskId& task,
                       const TaskLimits& limits,
                       TimePoint now) -> void {
  std::erase_if(worker.failed, [&](const auto& failure) {
    return now - failure.second > limits.failure_window;
  });
  worker.failed[task] = now;
  if (static_cast<int>(worker.failed.size()) >=
      limits.failing_worker_threshold) {
    worker.paused_until = now + limits.failure_pause;
  }
}

auto RecordTaskSuccess(WorkerFailures& worker) -> void {
  worker = {};
}

auto IsPaused(const WorkerFailures& worker, TimePoint now) -> bool {
  return worker.paused_until.has_value() && now < *worker.paused_until;
}

}  // namespace fireflythread
