#ifndef FIREFLYTHREAD_ADMIN_ADMIN_SERVER_OPTIONS_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_SERVER_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/settings/endpoint.h"

namespace fireflythread::admin {

/// Where the administration API listens and what bounds its clients.
struct AdminServerOptions {
  Endpoint listen;
  /// PEM files; both empty means plaintext.
  std::string tls_certificate;
  std::string tls_key;
  /// Bytes.
  std::int64_t max_body = 256 << 10;
  std::int64_t max_headers = 16 << 10;
  int max_connections = 64;
  /// Longest time in which a client must have sent its whole request.
  Duration receive_timeout = std::chrono::seconds(10);
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_SERVER_OPTIONS_H_
