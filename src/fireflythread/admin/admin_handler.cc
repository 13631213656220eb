#include "fireflythread/admin/admin_handler.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "fireflythread/admin/admin_backend.h"
#include "fireflythread/admin/api_call.h"
#include "fireflythread/admin/encode_status.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread::admin {
namespace {

constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::string_view kPrometheusText = "text/plain; version=0.0.4";

auto IsRead(const AdminRequest& request) -> bool {
  return request.method == "GET" || request.method == "HEAD";
}

auto ReadinessResponse(const Readiness& readiness) -> AdminResponse {
  const bool serves = readiness.state == Readiness::State::kServing;
  return MakeJsonResponse(serves ? 200 : 503, Encode(readiness));
}

auto MetricsResponse(const AdminBackend& backend) -> AdminResponse {
  AdminResponse response;
  response.body = backend.RenderMetrics();
  response.content_type = kPrometheusText;
  return response;
}

auto UnauthorizedResponse() -> AdminResponse {
  AdminResponse response = MakeErrorResponse(
      401, "unauthorized", "a known bearer token is needed in Authorization");
  response.headers.emplace_back("WWW-Authenticate", "Bearer");
  return response;
}

auto ForbiddenResponse() -> AdminResponse {
  return MakeErrorResponse(403, "forbidden",
                           "the token has the role view; edit is needed");
}

}  // namespace

AdminHandler::AdminHandler(AdminTokens known_tokens,
                           AdminBackend& admin_backend,
                           const Logger& event_logger)
    : tokens(std::move(known_tokens)),
      backend(admin_backend),
      logger(event_logger) {}

auto AdminHandler::Handle(const AdminRequest& request, const Respond& respond)
    -> void {
  if (request.path.starts_with(kApiPrefix)) {
    this->HandleApi(request, respond);
  } else if (!IsRead(request)) {
    respond(MakeErrorResponse(405, "method_not_allowed", "only GET is known"));
  } else if (request.path == "/healthz") {
    respond(MakeJsonResponse(200, {{"status", "ok"}}));
  } else if (request.path == "/readyz") {
    respond(ReadinessResponse(this->backend.GetReadiness()));
  } else if (request.path == "/metrics") {
    respond(MetricsResponse(this->backend));
  } else {
    respond(MakeErrorResponse(404, "not_found", "the path is unknown"));
  }
}

auto AdminHandler::HandleApi(const AdminRequest& request,
                             const Respond& respond) -> void {
  const auto identity = this->tokens.Authenticate(request.authorization);
  if (!identity) {
    this->logger.Warning("admin", "admin_unauthorized",
                         {{"method", request.method}, {"path", request.path}});
    respond(UnauthorizedResponse());
    return;
  }
  if (IsRead(request)) {
    StartApiCall(request, identity->name, this->backend, respond);
    return;
  }
  if (identity->role != AdminRole::kEdit) {
    respond(ForbiddenResponse());
    return;
  }
  const auto log_and_respond = [&logger = this->logger, respond,
                                who = identity->name, method = request.method,
                                path = request.path](AdminResponse response) {
    logger.Info("admin", "admin_edit",
                {{"who", who},
                 {"method", method},
                 {"path", path},
                 {"status", response.status}});
    respond(std::move(response));
  };
  StartApiCall(request, identity->name, this->backend, log_and_respond);
}

}  // namespace fireflythread::admin
