#include "fireflythread/admin/admin_response.h"

#include <nlohmann/json.hpp>

#include "fireflythread/admin/admin_error.h"
#include "fireflythread/admin/edit_result.h"

namespace fireflythread::admin {
namespace {

auto StatusOf(AdminError::Kind kind) -> int {
  switch (kind) {
    case AdminError::Kind::kNotFound:
      return 404;
    case AdminError::Kind::kInvalid:
      return 422;
    case AdminError::Kind::kUnavailable:
      return 503;
    case AdminError::Kind::kUnknownResult:
      return 504;
  }
  return 500;
}

auto CodeOf(AdminError::Kind kind) -> std::string_view {
  switch (kind) {
    case AdminError::Kind::kNotFound:
      return "not_found";
    case AdminError::Kind::kInvalid:
      return "invalid";
    case AdminError::Kind::kUnavailable:
      return "unavailable";
    case AdminError::Kind::kUnknownResult:
      return "unknown_result";
  }
  return "internal";
}

}  // namespace

auto MakeJsonResponse(int status, const nlohmann::json& json) -> AdminResponse {
  AdminResponse response;
  response.status = status;
  // Bytes of a client that are not UTF-8 may come back in an error message.
  response.body =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

auto MakeErrorResponse(int status,
                       std::string_view code,
                       std::string_view message,
                       const std::vector<std::string>& details)
    -> AdminResponse {
  nlohmann::json error{{"code", code}, {"message", message}};
  if (!details.empty()) {
    error["details"] = details;
  }
  return MakeJsonResponse(status, {{"error", error}});
}

auto MakeErrorResponse(const AdminError& error) -> AdminResponse {
  return MakeErrorResponse(StatusOf(error.kind), CodeOf(error.kind),
                           error.message, error.details);
}

auto MakeConflictResponse(const EditConflict& conflict) -> AdminResponse {
  nlohmann::json error{
      {"code", "conflict"},
      {"message", "the object was changed since the version in If-Match"},
      {"expected_version", conflict.expected_version},
      {"current_version", conflict.current_version},
      {"current",
       nlohmann::json::parse(conflict.current_body, nullptr, false)}};
  if (error["current"].is_discarded()) {
    error["current"] = nullptr;
  }
  return MakeJsonResponse(409, {{"error", error}});
}

}  // namespace fireflythread::admin
