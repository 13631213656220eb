#ifndef FIREFLYTHREAD_ADMIN_DECODE_REQUEST_H_
#define FIREFLYTHREAD_ADMIN_DECODE_REQUEST_H_

#include <cstdint>
#include <string>
#include <variant>

#include "fireflythread/admin/admin_request.h"
#include "fireflythread/admin/admin_response.h"
#include "fireflythread/admin/declare_request.h"
#include "fireflythread/admin/edit_request.h"
#include "fireflythread/admin/history_query.h"
#include "fireflythread/admin/vm_filter.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// A value out of a request, or the error response to send instead.
template <typename T>
using Decoded = std::variant<T, AdminResponse>;

/// The version in If-Match, as `12` or `"12"`; 0, which requires an absent
/// object, also as `If-None-Match: *`.
[[nodiscard]] auto DecodeExpectedVersion(const AdminRequest& request)
    -> Decoded<std::uint64_t>;

/// The object's JSON without the fields that only the API adds (`version`,
/// `status`), and with `name` as in the path.
[[nodiscard]] auto DecodeObjectBody(const AdminRequest& request,
                                    const std::string& name)
    -> Decoded<std::string>;

/// The order to maintain VMs; unknown fields are faults.
[[nodiscard]] auto DecodeDeclare(const AdminRequest& request)
    -> Decoded<DeclareRequest>;

[[nodiscard]] auto DecodeVmFilter(const AdminRequest& request)
    -> Decoded<VmFilter>;

[[nodiscard]] auto DecodeHistoryQuery(const AdminRequest& request)
    -> Decoded<HistoryQuery>;

/// The query's `wait_ms`, 0 to 30000.
[[nodiscard]] auto DecodeWait(const AdminRequest& request, Duration otherwise)
    -> Decoded<Duration>;

/// A whole number in the query; `otherwise` when it is absent.
[[nodiscard]] auto DecodeNumber(const AdminRequest& request,
                                const std::string& key,
                                std::uint64_t otherwise,
                                std::uint64_t min,
                                std::uint64_t max) -> Decoded<std::uint64_t>;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_DECODE_REQUEST_H_
