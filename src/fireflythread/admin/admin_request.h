#ifndef FIREFLYTHREAD_ADMIN_ADMIN_REQUEST_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_REQUEST_H_

#include <map>
#include <string>

namespace fireflythread::admin {

/// A request to the administration API, independent of the HTTP library.
struct AdminRequest {
  std::string method;
  /// Decoded path without the query.
  std::string path;
  std::map<std::string, std::string> query;
  /// Header values; empty when the header is absent.
  std::string authorization;
  std::string if_match;
  std::string if_none_match;
  std::string idempotency_key;
  std::string body;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_REQUEST_H_
