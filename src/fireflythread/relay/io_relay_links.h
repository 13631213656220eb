#ifndef FIREFLYTHREAD_RELAY_IO_RELAY_LINKS_H_
#define FIREFLYTHREAD_RELAY_IO_RELAY_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/peer/peer_transport.h"

namespace fireflythread {

/// The connections to owners and helpers. An entry may be both to another one;
/// the connection stays while either side needs it.
class RelayLinks {
 public:
  /// What the other entry is for this one.
  enum class Role : std::uint8_t { kRelayPeer, kOwner };

  using Handler = PeerTransport::Handler;

  /// Messages by their kind. A handler must not destroy the links.
  struct Handlers {
    Handler hello;
    Handler welcome;
    Handler orders;
    Handler replies;
  };

  RelayLinks(EntryId self, std::uint64_t incarnation);

  /// Listens at a numeric address and port; gives the reason on failure.
  [[nodiscard]] auto Open(const std::string& address, Handlers handlers)
      -> std::optional<std::string>;

  /// Where this entry listens.
  [[nodiscard]] auto Address() const -> std::string;
  [[nodiscard]] auto Incarnation() const -> std::uint64_t {
    return this->incarnation;
  }

  auto Connect(Role role, const EntryId& entry, const std::string& address)
      -> void;
  auto Disconnect(Role role, const EntryId& entry) -> void;
  /// Opens a new connection, for an entry that has restarted.
  auto Reconnect(const EntryId& entry) -> void;
  /// False when the message was dropped and has not left the process.
  auto Send(const EntryId& entry, peer::Envelope envelope) -> bool;

 private:
  struct Roles {
    bool relay_peer = false;
    bool owner = false;
  };

  auto Deliver(const peer::Envelope& envelope) -> void;

  EntryId self;
  std::uint64_t incarnation;
  Handlers handlers;
  std::map<EntryId, Roles> roles;
  std::unique_ptr<PeerTransport> transport;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_RELAY_LINKS_H_
