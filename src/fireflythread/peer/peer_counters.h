#ifndef FIREFLYTHREAD_PEER_PEER_COUNTERS_H_
#define FIREFLYTHREAD_PEER_PEER_COUNTERS_H_

#include <cstdint>

namespace fireflythread {

/// What the transport has done since it started, for metrics.
struct PeerCounters {
  std::uint64_t sent = 0;
  /// Messages that found no connection or a full queue.
  std::uint64_t send_dropped = 0;
  std::uint64_t received = 0;
  /// Messages that are not an envelope with a body.
  std::uint64_t malformed = 0;
  /// Messages from a sender that is no peer or that used another's key.
  std::uint64_t unknown_sender = 0;
  /// Connections refused for their key.
  std::uint64_t refused_keys = 0;
  std::uint64_t rebuilt_sockets = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_PEER_COUNTERS_H_
