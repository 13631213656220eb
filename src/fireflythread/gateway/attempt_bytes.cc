#include "fireflythread/gateway/attempt_bytes.h"

#include <fmt/format.h>

#include <iterator>

namespace fireflythread {

auto BuildAttempt(const CallerRequest& request, const AttemptFields& fields)
    -> OutgoingRequest {
  OutgoingRequest result;
  result.head_request = request.method == "HEAD";
  result.request_id = fields.request_id;
  constexpr std::size_t kUsualHead = 1024;
  result.bytes.reserve(kUsualHead + request.body.size());
  auto out = std::back_inserter(result.bytes);
  fmt::format_to(out,
                 "{} {} HTTP/1.1\r\nHost: {}\r\n"
                 "Fireflythread-Request-Id: {}\r\nFireflythread-Pool: {}\r\n"
                 "Fireflythread-Entry: {}\r\nFireflythread-Deadline-Ms: {}\r\n"
                 "traceparent: {}\r\n",
                 request.method, request.target, fields.host, fields.request_id,
                 fields.pool.value, fields.entry.value,
                 fields.time_left.count(), TraceparentHeader(fields.trace));
  for (const HttpHeader& header : request.headers) {
    fmt::format_to(out, "{}: {}\r\n", header.name, header.value);
  }
  const bool may_have_body = request.method != "GET" && !result.head_request;
  if (may_have_body || !request.body.empty()) {
    fmt::format_to(out, "Content-Length: {}\r\n", request.body.size());
  }
  result.bytes.append("\r\n").append(request.body);
  return result;
}

}  // namespace fireflythread
