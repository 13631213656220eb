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

/// The connections to owners and relay peers. Another entry can have both
/// roles; the connection to it stays open while either role needs it.
class RelayLinks {
 public:
  /// Role of another entry: kRelayPeer relays this entry's orders, and kOwner
  /// has its orders relayed by this entry.
  enum class Role : std::uint8_t { kRelayPeer, kOwner };

  using Handler = PeerTransport::Handler;

  /// Handlers for the received messages, by message type. A handler must not
  /// destroy the RelayLinks object.
  struct Handlers {
    Handler hello;
    Handler welcome;
    Handler orders;
    Handler replies;
  };

  RelayLinks(EntryId self, std::uint64_t incarnation);

  /// Listens on `address`, a numeric IP address with a port. Returns the reason
  /// on failure.
  [[nodiscard]] auto Open(const std::string& address, Handlers handlers)
      -> std::optional<std::string>;

  /// Returns the address on which this entry listens.
  [[nodiscard]] auto Address() const -> std::string;
  [[nodiscard]] auto Incarnation() const -> std::uint64_t {
    return this->incarnation;
  }

  /// Connects to an entry, or adds the role if a connection exists already.
  auto Connect(Role role, const EntryId& entry, const std::string& address)
      -> void;
  /// Removes the role, and closes the connection if no role is left.
  auto Disconnect(Role role, const EntryId& entry) -> void;
  /// Replaces the connection to an entry that has restarted.
  auto Reconnect(const EntryId& entry) -> void;
  /// Returns false if the message was dropped and has not left the process.
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
