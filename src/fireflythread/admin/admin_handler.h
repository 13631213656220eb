#ifndef FIREFLYTHREAD_ADMIN_ADMIN_HANDLER_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_HANDLER_H_

#include <functional>

#include "fireflythread/admin/admin_request.h"
#include "fireflythread/admin/admin_response.h"
#include "fireflythread/admin/admin_tokens.h"
#include "fireflythread/admin/fwd.h"
#include "fireflythread/telemetry/fwd.h"

namespace fireflythread::admin {

/// Answers the requests of the administration API: checks the token and the
/// request, calls the backend and encodes its answer. Free of sockets.
class AdminHandler {
 public:
  using Respond = std::function<void(AdminResponse)>;

  AdminHandler(AdminTokens tokens, AdminBackend& backend, const Logger& logger);

  /// Calls `respond` exactly once, now or later.
  auto Handle(const AdminRequest& request, const Respond& respond) -> void;

 private:
  auto HandleApi(const AdminRequest& request, const Respond& respond) -> void;

  AdminTokens tokens;
  AdminBackend& backend;
  const Logger& logger;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_HANDLER_H_
