#ifndef FIREFLYTHREAD_RELAY_RELAY_PEERS_H_
#define FIREFLYTHREAD_RELAY_RELAY_PEERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/relay/fwd.h"
#include "fireflythread/relay/relay_candidate.h"
#include "fireflythread/relay/relay_peer.h"

namespace fireflythread {

/// The relay peers that an owner is connected to.
struct RelayPeers {
  std::map<EntryId, RelayPeer> peers;
};

/// Period at which a hello is repeated until it is answered.
inline constexpr std::chrono::milliseconds kHelloRetry{250};

/// Period of the hellos to a relay peer that has answered one.
inline constexpr std::chrono::milliseconds kHelloPeriod{1000};

/// Time without a message after which a relay peer counts as unresponsive: it
/// has left three hellos unanswered.
inline constexpr std::chrono::milliseconds kRelayPeerTimeout{3000};

/// Time for which a relay peer gets no orders after it left an order
/// unanswered.
inline constexpr std::chrono::milliseconds kUnansweredPause{2000};

/// Time for which a relay peer gets no orders after it returned orders because
/// it was busy. Each further return restarts it. It is longer than the queue
/// wait after which a relay peer returns orders, so that the queue is short
/// when it ends.
inline constexpr std::chrono::milliseconds kBusyPause{500};

/// Sets the relay peers to use from now on. Others get no more orders.
auto SetRelayPeers(RelayPeers& state,
                   const std::vector<RelayCandidate>& candidates) -> void;

/// Returns the relay peers to which a hello is due, and schedules the next
/// hello to each of them.
[[nodiscard]] auto CollectDueHellos(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId>;

/// Applies a welcome. Returns true if this opens the relay peer: it was closed,
/// is selected and is not stopping. Ignores a welcome from another incarnation.
[[nodiscard]] auto ApplyWelcome(RelayPeers& state,
                                const EntryId& entry,
                                std::uint64_t incarnation,
                                bool stopping,
                                TimePoint now) -> bool;

/// Records that a batch of replies was received.
auto RecordReplies(RelayPeers& state,
                   const EntryId& entry,
                   bool stopping,
                   TimePoint now) -> void;

/// Records that the relay peer returned orders because it was busy. It gets no
/// orders for kBusyPause, but the connection stays open. Returns true if the
/// pause begins, and false if it is extended.
[[nodiscard]] auto RecordBusy(RelayPeers& state,
                              const EntryId& entry,
                              TimePoint now) -> bool;

/// Records that a message could not be sent, for lack of a connection or
/// because the send queue was full. The relay peer is used again after the next
/// welcome. Returns true if this closes the relay peer.
[[nodiscard]] auto RecordSendFailure(RelayPeers& state, const EntryId& entry)
    -> bool;

/// Records that an order had no reply in time. Pauses the relay peer and
/// returns true if no message was received from it since the order was sent and
/// it is not paused already.
[[nodiscard]] auto RecordUnanswered(RelayPeers& state,
                                    const EntryId& entry,
                                    TimePoint sent_at,
                                    TimePoint now) -> bool;

/// Closes the relay peers that are unresponsive and returns their ids. A closed
/// relay peer gets no orders until its next welcome.
[[nodiscard]] auto CloseUnresponsivePeers(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId>;

/// Removes the relay peers that are no longer selected and have no pending
/// orders, and returns their ids.
[[nodiscard]] auto RemoveUnselectedPeers(RelayPeers& state,
                                         const PendingOrders& pending)
    -> std::vector<EntryId>;

/// Returns whether orders can be sent to the relay peer at the time `now`.
[[nodiscard]] auto IsUsable(const RelayPeer& relay_peer, TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEERS_H_
