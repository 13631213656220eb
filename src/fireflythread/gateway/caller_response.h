#ifndef FIREFLYTHREAD_GATEWAY_CALLER_RESPONSE_H_
#define FIREFLYTHREAD_GATEWAY_CALLER_RESPONSE_H_

#include <string>
#include <vector>

#include "fireflythread/gateway/caller_request.h"
#include "fireflythread/gateway/http_header.h"
#include "fireflythread/gateway/request_outcome.h"

namespace fireflythread {

/// The answer to a caller. `reason` goes into `Fireflythread-Reason` and is
/// empty for kAnswered; `headers` are those of the backend server.
struct CallerResponse {
  int status = 0;
  RequestOutcome outcome = RequestOutcome::kAnswered;
  std::string reason;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// The answer to a request that was not run.
[[nodiscard]] auto RefusalResponse(const Refusal& refusal) -> CallerResponse;

/// The answer to a request of which it is not known whether it was run. A
/// `timed_out` one gets 504, any other 502.
[[nodiscard]] auto UnknownResponse(bool timed_out, const std::string& detail)
    -> CallerResponse;

/// The answer to a repeat while the first request with its key is on its way:
/// 409 with outcome unknown, since the work behind the key may be run.
[[nodiscard]] auto InProgressResponse() -> CallerResponse;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CALLER_RESPONSE_H_
