#ifndef FIREFLYTHREAD_ADMIN_OBJECT_CALLS_H_
#define FIREFLYTHREAD_ADMIN_OBJECT_CALLS_H_

#include <functional>
#include <string>

#include "fireflythread/admin/admin_request.h"
#include "fireflythread/admin/admin_response.h"
#include "fireflythread/admin/fwd.h"
#include "fireflythread/admin/object_kind.h"

namespace fireflythread::admin::internal {

using Respond = std::function<void(AdminResponse)>;

/// `GET /v1/KINDS`; pools with their state now.
auto ListObjects(ObjectKind kind, AdminBackend& backend, const Respond& respond)
    -> void;

/// `GET /v1/KINDS/NAME`, with the version as ETag.
auto GetObject(ObjectKind kind,
               const std::string& name,
               AdminBackend& backend,
               const Respond& respond) -> void;

/// `PUT` or `DELETE /v1/KINDS/NAME`.
auto EditObject(const AdminRequest& request,
                ObjectKind kind,
                const std::string& name,
                const std::string& who,
                AdminBackend& backend,
                const Respond& respond) -> void;

}  // namespace fireflythread::admin::internal

#endif  // FIREFLYTHREAD_ADMIN_OBJECT_CALLS_H_
