#ifndef FIREFLYTHREAD_GATEWAY_ANSWER_CHECK_H_
#define FIREFLYTHREAD_GATEWAY_ANSWER_CHECK_H_

#include <string>
#include <string_view>

#include "fireflythread/gateway/attempt_report.h"
#include "fireflythread/gateway/backend_response.h"
#include "fireflythread/gateway/outgoing_request.h"

namespace fireflythread {

/// Base64 of the SHA-256 of `text`.
[[nodiscard]] auto Sha256Base64(std::string_view text) -> std::string;

/// Judges a complete answer: verifies `Content-Digest` (RFC 9530, sha-256) and
/// the request id if the answer has them, and tells a refusal (503 with
/// `X-Not-Run: 1`) from an answer.
[[nodiscard]] auto CheckAnswer(const OutgoingRequest& request,
                               BackendResponse response) -> AttemptReport;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_ANSWER_CHECK_H_
