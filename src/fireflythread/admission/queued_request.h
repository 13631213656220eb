#ifndef FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_
#define FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_

#include <cstdint>

#include "fireflythread/admission/request_class.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// What the queue knows of a request.
struct QueuedRequest {
  std::uint64_t id = 0;
  TeamName team;
  RequestClass request_class = RequestClass::kDeadline;
  TimePoint queued_at;
  TimePoint deadline;
  /// Time that it will likely take on a worker; 0 when nothing is known.
  Duration estimated_time{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_QUEUED_REQUEST_H_
