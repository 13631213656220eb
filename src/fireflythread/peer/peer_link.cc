#include "fireflythread/peer/peer_link.h"

#include <utility>

#include "fireflythread/peer/socket_options.h"

namespace fireflythread {

namespace {

constexpr int kReconnectMs = 100;
constexpr int kLongestReconnectMs = 1000;
constexpr int kConnectTimeoutMs = 1000;

}  // namespace

PeerLink::PeerLink(zmq::context_t& context,
                   const PeerTransportSettings& transport_settings,
                   EntryId peer_id,
                   std::string peer_address,
                   TimePoint now)
    : zmq_context(context),
      settings(transport_settings),
      peer(std::move(peer_id)),
      address(std::move(peer_address)),
      built_at(now),
      heard_at(now),
      socket(this->Connect()) {}

auto PeerLink::Send(std::string_view bytes) -> bool {
  try {
    return this->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  } catch (const zmq::error_t&) {
    // A failed host or network is as good as no connection.
    return false;
  }
}

auto PeerLink::Rebuild(std::string new_address, TimePoint now) -> void {
  this->address = std::move(new_address);
  this->built_at = now;
  this->socket = this->Connect();
}

auto PeerLink::NeedsRebuild(Duration limit, TimePoint now) const -> bool {
  return now - this->heard_at >= limit && now - this->built_at >= limit;
}

auto PeerLink::Connect() -> zmq::socket_t {
  zmq::socket_t created(this->zmq_context, zmq::socket_type::dealer);
  internal::SetCommonOptions(created, this->settings, this->address);
  internal::SetHeartbeats(created, this->settings);
  // Without this, messages pile up for a peer that is down and reach its
  // successor late.
  created.set(zmq::sockopt::immediate, true);
  created.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  created.set(zmq::sockopt::reconnect_ivl_max, kLongestReconnectMs);
  created.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  if (this->settings.keys) {
    const auto key = this->settings.keys->peer_public_keys.find(this->peer);
    if (key != this->settings.keys->peer_public_keys.end()) {
      created.set(zmq::sockopt::curve_serverkey, key->second);
    }
  }
  try {
    created.connect(internal::Endpoint(this->address));
  } catch (const zmq::error_t&) {
    // A malformed address leaves the link without a connection; every message
    // to it is dropped and counted until it is rebuilt.
    return created;
  }
  return created;
}

}  // namespace fireflythread
