#ifndef FIREFLYTHREAD_DAEMON_PEER_MESSAGE_H_
#define FIREFLYTHREAD_DAEMON_PEER_MESSAGE_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

/// A message from another entry.
struct PeerMessage {
  EntryId sender;
  std::uint64_t incarnation = 0;
  peer::Envelope envelope;
};

/// A message for another entry.
struct OutgoingPeerMessage {
  EntryId receiver;
  peer::Envelope envelope;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_PEER_MESSAGE_H_
