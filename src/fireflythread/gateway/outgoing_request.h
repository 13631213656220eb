#ifndef FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_
#define FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_

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
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_OUTGOING_REQUEST_H_
