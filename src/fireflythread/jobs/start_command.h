#ifndef FIREFLYTHREAD_JOBS_START_COMMAND_H_
#define FIREFLYTHREAD_JOBS_START_COMMAND_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// Order to a worker to start a run.
struct StartCommand {
  WorkerId worker;
  std::string address;
  TaskName task;
  int run = 0;
  std::string spec;
  /// Lease deadline on the worker's clock.
  std::chrono::milliseconds deadline{0};
  /// See ShardState::order_fence.
  std::uint64_t fence = 0;
  std::string checkpoint;
  std::string ticket;
  /// Time at which the owner made the order; not sent along.
  TimePoint ordered_at{};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_START_COMMAND_H_
