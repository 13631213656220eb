#ifndef FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_
#define FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_

#include <cstdint>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/relay/fwd.h"

namespace fireflythread {

/// A hash of a name that is the same in each process.
[[nodiscard]] auto HashName(std::string_view name) -> std::uint64_t;

/// The usable path that calls the worker, by weighted rendezvous hashing: the
/// paths get workers in proportion to their weights, and when one leaves, only
/// its own workers change. Null when no path is usable.
[[nodiscard]] auto ChooseRelayPeer(const RelayPeers& state,
                                   const WorkerId& worker,
                                   TimePoint now) -> const RelayPeer*;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEER_CHOICE_H_
