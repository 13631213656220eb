#ifndef FIREFLYTHREAD_GATEWAY_ATTEMPT_REPORT_H_
#define FIREFLYTHREAD_GATEWAY_ATTEMPT_REPORT_H_

#include <string>

#include "fireflythread/gateway/backend_response.h"
#include "fireflythread/retry/attempt_result.h"

namespace fireflythread {

/// How one attempt ended. `response` is set for kAnswered and kRefused,
/// `reason` for the others. `silent` says that the request was written and not
/// one byte came back until the attempt's deadline.
struct AttemptReport {
  AttemptResult result = AttemptResult::kUnknown;
  BackendResponse response;
  std::string reason;
  bool silent = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_ATTEMPT_REPORT_H_
