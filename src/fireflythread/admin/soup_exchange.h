#ifndef FIREFLYTHREAD_ADMIN_SOUP_EXCHANGE_H_
#define FIREFLYTHREAD_ADMIN_SOUP_EXCHANGE_H_

#include <libsoup/soup.h>

#include <cstdint>

#include "fireflythread/admin/admin_request.h"
#include "fireflythread/admin/admin_response.h"

namespace fireflythread::admin::internal {

/// The size of a request's line and headers in bytes.
[[nodiscard]] auto HeaderSize(SoupServerMessage* message) -> std::int64_t;

/// The request that libsoup received; `query` may be null.
[[nodiscard]] auto ReadRequest(SoupServerMessage* message,
                               const char* path,
                               GHashTable* query) -> AdminRequest;

/// Sets the response that libsoup sends before it closes the connection.
auto WriteResponse(SoupServerMessage* message, const AdminResponse& response)
    -> void;

/// Stops libsoup from keeping the request's body in memory.
auto DiscardBody(SoupServerMessage* message) -> void;

}  // namespace fireflythread::admin::internal

#endif  // FIREFLYTHREAD_ADMIN_SOUP_EXCHANGE_H_
