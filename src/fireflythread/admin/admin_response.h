#ifndef FIREFLYTHREAD_ADMIN_ADMIN_RESPONSE_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_RESPONSE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fireflythread/admin/fwd.h"

namespace fireflythread::admin {

/// A response of the administration API, independent of the HTTP library.
struct AdminResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Further headers, e.g. ETag.
  std::vector<std::pair<std::string, std::string>> headers;
};

/// A JSON response, e.g. of an encode function.
[[nodiscard]] auto MakeJsonResponse(int status, const nlohmann::json& json)
    -> AdminResponse;

/// `{"error": {"code": ..., "message": ..., "details": [...]}}`.
[[nodiscard]] auto MakeErrorResponse(
    int status,
    std::string_view code,
    std::string_view message,
    const std::vector<std::string>& details = {}) -> AdminResponse;

/// The response for an AdminError of the backend.
[[nodiscard]] auto MakeErrorResponse(const AdminError& error) -> AdminResponse;

/// 409 with both versions and the object as it is now.
[[nodiscard]] auto MakeConflictResponse(const EditConflict& conflict)
    -> AdminResponse;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_RESPONSE_H_
