#include "fireflythread/relay/io_relay_links.h"

#include <utility>
#include <variant>

namespace fireflythread {

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

auto RelayLinks::Connect(Side side,
                         const EntryId& entry,
                         const std::string& address) -> void {
  Uses& used = this->uses[entry];
  (side == Side::kRelayPeer ? used.relay_peer : used.owner) = true;
  this->transport->SetPeerAddress(entry, address);
}

auto RelayLinks::Disconnect(Side side, const EntryId& entry) -> void {
  const auto used = this->uses.find(entry);
  if (used == this->uses.end()) {
    return;
  }
  (side == Side::kRelayPeer ? used->second.relay_peer : used->second.owner) =
      false;
  if (!used->second.relay_peer && !used->second.owner) {
    this->uses.erase(used);
    this->transport->RemovePeer(entry);
  }
}

auto RelayLinks::Renew(const EntryId& entry) -> void {
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
