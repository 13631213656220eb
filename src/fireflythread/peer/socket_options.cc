#include "fireflythread/peer/socket_options.h"

#include <chrono>

namespace fireflythread::internal {

namespace {

/// Heartbeats sent within the heartbeat timeout, so that one late answer does
/// not close a connection.
constexpr int kHeartbeatsPerTimeout = 3;

auto InMilliseconds(Duration duration) -> int {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

auto SetCommonOptions(zmq::socket_t& socket,
                      const PeerTransportSettings& settings,
                      const std::string& address) -> void {
  const int timeout_ms = InMilliseconds(settings.heartbeat_timeout);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, settings.high_water_mark);
  socket.set(zmq::sockopt::rcvhwm, settings.high_water_mark);
  socket.set(zmq::sockopt::maxmsgsize, settings.largest_message);
  socket.set(zmq::sockopt::heartbeat_ivl, timeout_ms / kHeartbeatsPerTimeout);
  socket.set(zmq::sockopt::heartbeat_timeout, timeout_ms);
  socket.set(zmq::sockopt::handshake_ivl, timeout_ms);
  socket.set(zmq::sockopt::ipv6, address.starts_with('['));
  if (settings.keys) {
    socket.set(zmq::sockopt::curve_publickey, settings.keys->public_key);
    socket.set(zmq::sockopt::curve_secretkey, settings.keys->secret_key);
  }
}

auto Endpoint(const std::string& address) -> std::string {
  return "tcp://" + address;
}

}  // namespace fireflythread::internal
