#ifndef FIREFLYTHREAD_CTL_API_REQUEST_H_
#define FIREFLYTHREAD_CTL_API_REQUEST_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread::ctl {

/// One request to the administration API. `path` holds the encoded path and
/// query, e.g. "/v1/vms?zone=a".
struct ApiRequest {
  std::string method = "GET";
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Above the server's longest time for an answer.
  Duration timeout = std::chrono::seconds(15);
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_API_REQUEST_H_
