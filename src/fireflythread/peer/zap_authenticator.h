#ifndef FIREFLYTHREAD_PEER_ZAP_AUTHENTICATOR_H_
#define FIREFLYTHREAD_PEER_ZAP_AUTHENTICATOR_H_

#include <glib.h>

#include <cstdint>
#include <map>
#include <string>
#include <zmq.hpp>

#include "fireflythread/base/ids.h"
#include "fireflythread/peer/curve_keys.h"
#include "fireflythread/peer/socket_watch.h"

namespace fireflythread {

/// Answers ZeroMQ's authentication requests (ZAP, RFC 27) within one context:
/// admits the CURVE keys of the peers and names the peer to which a key
/// belongs. Must exist before a socket of the context is bound.
class ZapAuthenticator {
 public:
  /// `refused` is incremented for each refused connection.
  ZapAuthenticator(zmq::context_t& zmq_context,
                   GMainContext* context,
                   const CurveKeys& keys,
                   std::uint64_t& refused);

 private:
  [[nodiscard]] auto AnswerOne() -> bool;

  /// Entry names by public key in Z85.
  std::map<std::string, EntryId> entry_of_key;
  std::uint64_t& refused;
  zmq::socket_t socket;
  SocketWatch watch;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_ZAP_AUTHENTICATOR_H_
