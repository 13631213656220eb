#ifndef FIREFLYTHREAD_JOBS_QUEUE_H_
#define FIREFLYTHREAD_JOBS_QUEUE_H_

#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/queue_terms.h"

namespace fireflythread {

/// A queue of jobs as the operator configured it.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  QueueTerms terms;
  /// Only some workers may run the steps of this queue's jobs; a policy service
  /// selects them.
  bool needs_advice = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_H_
