#ifndef FIREFLYTHREAD_ADMIN_API_CALL_H_
#define FIREFLYTHREAD_ADMIN_API_CALL_H_

#include <functional>
#include <string>

#include "fireflythread/admin/admin_request.h"
#include "fireflythread/admin/admin_response.h"
#include "fireflythread/admin/fwd.h"

namespace fireflythread::admin {

/// Carries out a request below /v1/ whose token has been checked. `who` is the
/// token's name. Calls `respond` exactly once, now or later.
auto StartApiCall(const AdminRequest& request,
                  const std::string& who,
                  AdminBackend& backend,
                  const std::function<void(AdminResponse)>& respond) -> void;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_API_CALL_H_
