#ifndef FIREFLYTHREAD_GATEWAY_ATTEMPT_BYTES_H_
#define FIREFLYTHREAD_GATEWAY_ATTEMPT_BYTES_H_

#include <chrono>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/gateway/caller_request.h"
#include "fireflythread/gateway/outgoing_request.h"
#include "fireflythread/telemetry/span_context.h"

namespace fireflythread {

/// What an attempt adds to the caller's request.
struct AttemptFields {
  std::string host;
  std::string request_id;
  PoolName pool;
  EntryId entry;
  std::chrono::milliseconds time_left{0};
  SpanContext trace;
};

/// Writes the request as sent to a backend server.
[[nodiscard]] auto BuildAttempt(const CallerRequest& request,
                                const AttemptFields& fields) -> OutgoingRequest;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_ATTEMPT_BYTES_H_
