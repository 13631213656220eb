#ifndef FIREFLYTHREAD_PEER_SOCKET_OPTIONS_H_
#define FIREFLYTHREAD_PEER_SOCKET_OPTIONS_H_

#include <string>
#include <zmq.hpp>

#include "fireflythread/peer/peer_transport_settings.h"

namespace fireflythread::internal {

/// Sets what both ends of a connection have in common: limits and the own CURVE
/// keys. `address` is the one to bind or connect to.
auto SetCommonOptions(zmq::socket_t& socket,
                      const PeerTransportSettings& settings,
                      const std::string& address) -> void;

/// Sets the heartbeats of a connection's connecting end. The accepting end
/// answers them and sends none.
auto SetHeartbeats(zmq::socket_t& socket, const PeerTransportSettings& settings)
    -> void;

/// "tcp://ADDRESS".
[[nodiscard]] auto Endpoint(const std::string& address) -> std::string;

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_PEER_SOCKET_OPTIONS_H_
