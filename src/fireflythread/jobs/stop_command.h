#ifndef FIREFLYTHREAD_JOBS_STOP_COMMAND_H_
#define FIREFLYTHREAD_JOBS_STOP_COMMAND_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread {

/// Order to a worker to stop a run, or to reject it if its start arrives later.
struct StopCommand {
  WorkerId worker;
  std::string address;
  TaskName task;
  int run = 0;
  std::uint64_t fence = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_STOP_COMMAND_H_
