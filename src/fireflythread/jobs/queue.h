#ifndef FIREFLYTHREAD_JOBS_QUEUE_H_
#define FIREFLYTHREAD_JOBS_QUEUE_H_

#include <chrono>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A queue of jobs, as the operator configured it.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  /// 0 comes first.
  int priority = 0;
  /// Runs of one task that may fail before its job has failed.
  int max_attempts = 1;
  /// The latency objective of a job is `stretch` times its longest chain of
  /// work, and `latency_objective` more.
  double stretch = 1.0;
  std::chrono::milliseconds latency_objective{0};
  /// Only some workers may run a step; a policy service knows them.
  bool needs_advice = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_H_
