#ifndef FIREFLYTHREAD_JOBS_PACE_COMMAND_H_
#define FIREFLYTHREAD_JOBS_PACE_COMMAND_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// Order to a worker to run a task at a part of its full speed.
struct PaceCommand {
  WorkerId worker;
  std::string address;
  TaskName task;
  int run = 0;
  /// From 0, at which the task stands still, to 100.
  int percent = 100;
  std::uint64_t fence = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_PACE_COMMAND_H_
