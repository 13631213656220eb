#ifndef FIREFLYTHREAD_CTL_API_H_
#define FIREFLYTHREAD_CTL_API_H_

#include "fireflythread/ctl/api_reply.h"
#include "fireflythread/ctl/api_request.h"

namespace fireflythread::ctl {

/// The administration API as the verbs use it. Tests replace it by one without
/// sockets.
class Api {
 public:
  virtual ~Api() = default;

  /// Sends one request, once, and waits for the reply.
  virtual auto Call(const ApiRequest& request) -> ApiReply = 0;

  /// Waits between two polls.
  virtual auto Sleep(Duration duration) -> void = 0;
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_API_H_
