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
  /// Longest time that the backend may take, beside the wait that the client
  /// asked for; 504 after it. Covers an edit's default wait of 2 s, a
  /// transaction and the read after a lost answer.
  Duration response_timeout = std::chrono::seconds(10);
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_SERVER_OPTIONS_H_
