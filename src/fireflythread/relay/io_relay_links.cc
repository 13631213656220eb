#include "fireflythread/relay/io_relay_links.h"

#include <chrono>
#include <utility>
#include <variant>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Heartbeats of the links between owners and relay peers. An owner has dozens
/// of links, so heartbeats would be most of what an entry at rest does. Orders
/// and hellos that stay unanswered show a silent link earlier.
constexpr milliseconds kHeartbeatPeriod{1500};
constexpr milliseconds kHeartbeatTimeout{3000};

}  // namespace

RelayLinks::RelayLinks(EntryId own_id, std::uint64_t own_incarnation)
    : self(std::move(own_id)), incarnation(own_incarnation) {}

auto RelayLinks::Open(const std::string& address, Handlers message_handlers)
    -> std::optional<std::string> {
  this->handlers = std::move(message_handlers);
  PeerTransportSettings settings;
  settings.self = this->self;
  settings.incarnation = this->incarnation;
  settings.listen_address = address;
  settings.allow_plaintext_beyond_loopback = true;
  settings.admit_relay_hellos = true;
  settings.heartbeat_period = kHeartbeatPeriod;
  settings.heartbeat_timeout = kHeartbeatTimeout;
  auto opened = PeerTransport::Open(
      std::move(settings), nullptr,
      [this](const peer::Envelope& envelope) { this->Deliver(envelope); });
  if (const auto* error = std::get_if<PeerTransport::OpenError>(&opened)) {
    return error->reason;
  }
  this->transport = std::move(std::get<std::unique_ptr<PeerTransport>>(opened));
  return std::nullopt;
}

auto RelayLinks::Address() const -> std::string {
  return this->transport->ListenAddress();
}

auto RelayLinks::Connect(Role role,
                         const EntryId& entry,
                         const std::string& address) -> void {
  Roles& entry_roles = this->roles[entry];
  (role == Role::kRelayPeer ? entry_roles.relay_peer : entry_roles.owner) =
      true;
  this->transport->SetPeerAddress(entry, address);
}

auto RelayLinks::Disconnect(Role role, const EntryId& entry) -> void {
  const auto entry_roles = this->roles.find(entry);
  if (entry_roles == this->roles.end()) {
    return;
  }
  (role == Role::kRelayPeer ? entry_roles->second.relay_peer
                            : entry_roles->second.owner) = false;
  if (!entry_roles->second.relay_peer && !entry_roles->second.owner) {
    this->roles.erase(entry_roles);
    this->transport->RemovePeer(entry);
  }
}

auto RelayLinks::Reconnect(const EntryId& entry) -> void {
  this->transport->RebuildLink(entry);
}

auto RelayLinks::Send(const EntryId& entry, peer::Envelope envelope) -> bool {
  return this->transport->Send(entry, std::move(envelope));
}

auto RelayLinks::Deliver(const peer::Envelope& envelope) -> void {
  switch (envelope.body_case()) {
    case peer::Envelope::kRelayHello:
      return this->handlers.hello(envelope);
    case peer::Envelope::kRelayWelcome:
      return this->handlers.welcome(envelope);
    case peer::Envelope::kOrderBatch:
      return this->handlers.orders(envelope);
    case peer::Envelope::kOrderReplyBatch:
      return this->handlers.replies(envelope);
    default:
      return;
  }
}

}  // namespace fireflythread
