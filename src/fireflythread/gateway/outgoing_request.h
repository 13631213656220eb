#ifndef FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_
#define FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_

#include <functional>
#include <string>

namespace fireflythread {

/// One request as the bytes to be written.
struct OutgoingRequest {
  std::string bytes;
  /// The answer to HEAD has no body.
  bool head_request = false;
  /// An answer that names another request in `Fireflythread-Request-Id` is not
  /// taken. Empty when the answer is not checked.
  std::string request_id;
  /// Asked directly before the first byte is written, because a connect may
  /// take until after the control state has changed. Empty when always true.
  std::function<bool()> may_send;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_
