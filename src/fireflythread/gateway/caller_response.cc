#include "fireflythread/gateway/caller_response.h"

#include <nlohmann/json.hpp>

namespace fireflythread {

namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

auto OwnBody(CallerResponse& response, const std::string& detail) -> void {
  const nlohmann::json body = {
      {"outcome", RequestOutcomeName(response.outcome)},
      {"reason", response.reason},
      {"detail", detail}};
  // Replaces bytes that are not UTF-8: the text may quote the request.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.headers.push_back({"Content-Type", "application/json"});
}

}  // namespace

auto RefusalResponse(const Refusal& refusal) -> CallerResponse {
  CallerResponse response;
  response.status = RefusalHttpStatus(refusal.reason);
  response.outcome = RequestOutcome::kNotRun;
  response.reason = RefusalReasonText(refusal.reason);
  OwnBody(response, refusal.detail);
  return response;
}

auto UnknownResponse(bool timed_out, const std::string& detail)
    -> CallerResponse {
  CallerResponse response;
  response.status = timed_out ? kGatewayTimeout : kBadGateway;
  response.outcome = RequestOutcome::kUnknown;
  response.reason = timed_out ? "no-answer-in-time" : "answer-lost";
  OwnBody(response, detail);
  return response;
}

auto InProgressResponse() -> CallerResponse {
  CallerResponse response;
  response.status = kConflict;
  response.outcome = RequestOutcome::kUnknown;
  response.reason = "in-progress";
  OwnBody(response, "a request with this key is in progress");
  return response;
}

}  // namespace fireflythread
