#ifndef FIREFLYTHREAD_JOBS_QUEUE_H_
#define FIREFLYTHREAD_JOBS_QUEUE_H_

#include <chrono>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A queue of jobs as the operator configured it.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  /// Priority: 0 runs first, higher values later.
  int priority = 0;
  /// Number of failed runs of one task after which its job fails.
  int max_attempts = 1;
  /// The latency objective of a job is `stretch` times the length of its
  /// critical path, plus `latency_objective`.
  double stretch = 1.0;
  std::chrono::milliseconds latency_objective{0};
  /// Only some workers may run the steps of this queue's jobs; a policy service
  /// selects them.
  bool needs_advice = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_H_
