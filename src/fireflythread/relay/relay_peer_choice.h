#ifndef FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_
#define FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/relay/fwd.h"

namespace fireflythread {

/// Returns the usable relay peer for the orders to `worker`, by weighted
/// rendezvous hashing: workers are distributed in proportion to the weights of
/// the relay peers, and if one becomes unusable, only its own workers are
/// reassigned. Returns null if no relay peer is usable.
[[nodiscard]] auto ChooseRelayPeer(const RelayPeers& state,
                                   const WorkerId& worker,
                                   TimePoint now) -> const RelayPeer*;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_
