#include "fireflythread/peer/socket_options.h"

#include <chrono>

namespace fireflythread::internal {

namespace {

/// The accepting end of a connection closes it after this many heartbeat
/// timeouts without a message. By then the connecting end has replaced it.
constexpr int kTimeoutsUntilClosed = 2;

auto InMilliseconds(Duration duration) -> int {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

auto SetCommonOptions(zmq::socket_t& socket,
                      const PeerTransportSettings& settings,
                      const std::string& address) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, settings.high_water_mark);
  socket.set(zmq::sockopt::rcvhwm, settings.high_water_mark);
  socket.set(zmq::sockopt::maxmsgsize, settings.largest_message);
  socket.set(zmq::sockopt::handshake_ivl,
             InMilliseconds(settings.heartbeat_timeout));
  socket.set(zmq::sockopt::ipv6, address.starts_with('['));
  if (settings.keys) {
    socket.set(zmq::sockopt::curve_publickey, settings.keys->public_key);
    socket.set(zmq::sockopt::curve_secretkey, settings.keys->secret_key);
  }
}

auto SetHeartbeats(zmq::socket_t& socket, const PeerTransportSettings& settings)
    -> void {
  const int timeout_ms = InMilliseconds(settings.heartbeat_timeout);
  socket.set(zmq::sockopt::heartbeat_ivl,
             InMilliseconds(settings.heartbeat_period));
  socket.set(zmq::sockopt::heartbeat_timeout, timeout_ms);
  // The accepting end closes the connection after this time without a message,
  // so that it needs no heartbeats of its own.
  socket.set(zmq::sockopt::heartbeat_ttl, timeout_ms * kTimeoutsUntilClosed);
}

auto Endpoint(const std::string& address) -> std::string {
  return "tcp://" + address;
}

}  // namespace fireflythread::internal
