#ifndef FIREFLYTHREAD_PEER_PEER_TRANSPORT_SETTINGS_H_
#define FIREFLYTHREAD_PEER_PEER_TRANSPORT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/peer/curve_keys.h"

namespace fireflythread {

/// Settings of the connections between the entries of a cell.
struct PeerTransportSettings {
  EntryId self;
  /// The random number drawn at process start.
  std::uint64_t incarnation = 0;
  /// Numeric address and port, e.g. "127.0.0.1:7401" or "[::1]:7401". Port 0
  /// takes a free one.
  std::string listen_address;
  /// Address and port of each peer.
  std::map<EntryId, std::string> peers;
  std::optional<CurveKeys> keys;
  /// Allows listening beyond the loopback range without keys. Messages can
  /// then be read and forged by anyone on the network.
  bool allow_plaintext_beyond_loopback = false;
  /// Hands a RelayHello of an unknown sender to the handler, which may add the
  /// sender as a peer. All its other messages are left out as ever.
  bool admit_relay_hellos = false;
  /// Messages that may wait for one peer; further ones are dropped. Every
  /// message is repeated or asked for again by the protocol above.
  int high_water_mark = 256;
  /// A larger message closes its connection. Holds a snapshot of the largest
  /// cell, some 700 VM rows of under 1 KB and the configuration, with room.
  std::int64_t largest_message = std::int64_t{8} << 20;
  /// Interval of the heartbeats that the connecting end of each connection
  /// sends.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  /// A connection without an answer to its heartbeats for this long is closed
  /// and opened anew.
  Duration heartbeat_timeout = std::chrono::milliseconds(1500);
  /// A peer from which nothing was received for this long gets a new socket,
  /// at most once in that time.
  Duration rebuild_after = std::chrono::seconds(3);
};

/// Every reason why the transport would refuse these settings; empty when
/// there is none.
[[nodiscard]] auto CheckPeerSettings(const PeerTransportSettings& settings)
    -> std::vector<std::string>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_PEER_TRANSPORT_SETTINGS_H_
