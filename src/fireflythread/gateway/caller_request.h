#ifndef FIREFLYTHREAD_GATEWAY_CALLER_REQUEST_H_
#define FIREFLYTHREAD_GATEWAY_CALLER_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fireflythread/admission/refusal_reason.h"
#include "fireflythread/admission/request_class.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/gateway/http_header.h"

namespace fireflythread {

/// What a caller asked for, checked.
struct CallerRequest {
  std::string method;
  ServiceName service;
  /// Path below the service with its query, as sent to the backend server.
  std::string target;
  /// Header fields as received, without those of the connection.
  std::vector<HttpHeader> headers;
  std::string body;
  RequestClass request_class = RequestClass::kDeadline;
  /// No value when the service's default applies.
  std::optional<std::chrono::milliseconds> deadline;
  std::string key;
  TeamName team;
  int cores = 0;
  int memory_mb = 0;
  bool idempotent = false;
  std::string traceparent;
};

/// Why a request was not run, with a text for the caller.
struct Refusal {
  RefusalReason reason = RefusalReason::kMalformed;
  std::string detail;
};

using ParsedRequest = std::variant<CallerRequest, Refusal>;

/// Checks method, path and headers of a request. `path` is percent-encoded,
/// `query` empty if there is none. The body is not looked at.
[[nodiscard]] auto ParseCallerRequest(std::string method,
                                      std::string_view path,
                                      std::string_view query,
                                      const std::vector<HttpHeader>& headers)
    -> ParsedRequest;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CALLER_REQUEST_H_
