#ifndef FIREFLYTHREAD_GATEWAY_BACKEND_RESPONSE_H_
#define FIREFLYTHREAD_GATEWAY_BACKEND_RESPONSE_H_

#include <string>
#include <vector>

#include "fireflythread/gateway/http_header.h"

namespace fireflythread {

/// A whole answer of a backend server.
struct BackendResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_BACKEND_RESPONSE_H_
