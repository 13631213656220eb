#ifndef FIREFLYTHREAD_JOBS_QUEUE_H_
#define FIREFLYTHREAD_JOBS_QUEUE_H_

#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/queue_terms.h"

namespace fireflythread {

/// A queue of jobs as the operator configured it. Its host and path prefix,
/// which callers know, tell which queue it is; its name is only the operators'
/// and may change.
struct Queue {
  QueueName name;
  std::string host;
  std::string path_prefix;
  ServiceName service;
  QueueTerms terms;
  /// Only some workers may run the steps of this queue's jobs; a policy service
  /// selects them.
  bool needs_advice = false;
  /// Callers need no key, and jobs belong to no organisation.
  bool is_public = false;
};

/// Returns the identity of a queue, by which its jobs and its rows in the store
/// are known: the host and the path prefix. One that is too long for a key of
/// the store ends with a hash instead.
[[nodiscard]] auto IdOf(const Queue& queue) -> QueueId;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_H_
