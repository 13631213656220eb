#ifndef FIREFLYTHREAD_CTL_API_REPLY_H_
#define FIREFLYTHREAD_CTL_API_REPLY_H_

#include <nlohmann/json.hpp>
#include <string>

namespace fireflythread::ctl {

/// What came back from the administration API. `status` is 0 when the server
/// could not be reached or did not answer; `problem` says why, and
/// `may_have_run` that the request may have arrived. `json` is null for a body
/// that is not JSON.
struct ApiReply {
  int status = 0;
  nlohmann::json json;
  std::string problem;
  bool may_have_run = false;
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_API_REPLY_H_
