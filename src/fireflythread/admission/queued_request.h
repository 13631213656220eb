#ifndef FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_
#define FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_

#include <cstdint>

#include "fireflythread/admission/request_class.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// The attributes of a request that decide its place in the queue.
struct QueuedRequest {
  std::uint64_t id = 0;
  TeamName team;
  RequestClass request_class = RequestClass::kDeadline;
  TimePoint queued_at;
  TimePoint deadline;
  /// Estimated service time on a worker; 0 while there are no observations.
  Duration estimated_time{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_
