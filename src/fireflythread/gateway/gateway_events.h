#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_EVENTS_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_EVENTS_H_

#include <cstdint>
#include <string>

#include "fireflythread/admission/request_class.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/request_outcome.h"
#include "fireflythread/retry/attempt_result.h"
#include "fireflythread/telemetry/span_context.h"

namespace fireflythread {

/// A request has been answered. `trace` is its span; `pool` and `service` are
/// empty when the request was malformed.
struct RequestFinished {
  SpanContext trace;
  std::string request_id;
  ServiceName service;
  PoolName pool;
  TeamName team;
  RequestClass request_class = RequestClass::kDeadline;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  int status = 0;
  std::string reason;
  TimePoint started;
  Duration elapsed{0};
  int attempts = 0;
  bool in_time = false;
};

/// A request left its pool's queue, to be sent or, with a reason, refused.
struct QueueLeft {
  SpanContext trace;
  std::string request_id;
  PoolName pool;
  RequestClass request_class = RequestClass::kDeadline;
  TimePoint queued_at;
  Duration waited{0};
  std::string refused;
};

/// An attempt is about to be sent. `trace` is the attempt's own span.
struct AttemptStarted {
  SpanContext trace;
  std::string request_id;
  PoolName pool;
  VmId vm;
  int number = 1;
  bool hedge = false;
};

struct AttemptFinished {
  SpanContext trace;
  std::string request_id;
  PoolName pool;
  VmId vm;
  int number = 1;
  bool hedge = false;
  AttemptResult result = AttemptResult::kUnknown;
  /// HTTP status of the worker; 0 without an answer.
  int status = 0;
  std::string reason;
  TimePoint started;
  Duration elapsed{0};
};

/// A worker was taken out of rotation, or put back.
struct WorkerChange {
  VmId vm;
  PoolName pool;
  std::string reason;
};

enum class GatewayLogLevel : std::uint8_t { kInfo, kWarning, kError };

/// Something for the log that no other event tells.
struct GatewayLog {
  GatewayLogLevel level = GatewayLogLevel::kInfo;
  std::string message;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_EVENTS_H_
