#ifndef FIREFLYTHREAD_JOBS_CANCEL_REQUEST_H_
#define FIREFLYTHREAD_JOBS_CANCEL_REQUEST_H_

#include <optional>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A caller's cancellation of a job.
struct CancelRequest {
  JobId job;
  QueueId queue;
  /// Organisation of the caller, empty for none; no value where organisations
  /// are not checked.
  std::optional<OrganisationName> caller;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_CANCEL_REQUEST_H_
