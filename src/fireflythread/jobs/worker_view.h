#ifndef FIREFLYTHREAD_JOBS_WORKER_VIEW_H_
#define FIREFLYTHREAD_JOBS_WORKER_VIEW_H_

#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// A worker as it has registered itself.
struct WorkerView {
  WorkerId id;
  ServiceName service;
  /// "IP:PORT".
  std::string address;
  ZoneName zone;
  std::string rack;
  std::vector<std::string> labels;
  TaskSize capacity;
  bool draining = false;
  /// Minimum time until a draining worker leaves.
  std::chrono::milliseconds remaining{0};
  /// Start time of this incarnation of the worker, in milliseconds since 1970.
  std::chrono::milliseconds started_at{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WORKER_VIEW_H_
