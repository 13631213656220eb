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

/// The helpers that an owner is linked to.
struct RelayPeers {
  std::map<EntryId, RelayPeer> peers;
};

/// Period of the hello until it is answered.
inline constexpr std::chrono::milliseconds kHelloRetry{250};

/// Period of the hello to a helper that has welcomed it.
inline constexpr std::chrono::milliseconds kHelloPeriod{1000};

/// A path whose helper left three hellos unanswered is closed.
inline constexpr std::chrono::milliseconds kRelayPeerTimeout{3000};

/// Pause of a path that left an order unanswered.
inline constexpr std::chrono::milliseconds kUnansweredPause{2000};

/// Pause of a path whose helper hands orders back for being busy. Each further
/// hand-back begins it anew; it is longer than the wait after which a helper
/// hands orders back, so that its queue is short by the end.
inline constexpr std::chrono::milliseconds kBusyPause{500};

/// Takes the helpers to use from now on. Paths to others get no more orders.
auto SetRelayPeers(RelayPeers& state,
                   const std::vector<RelayCandidate>& candidates) -> void;

/// The helpers that a hello is due for; counts as sent.
[[nodiscard]] auto CollectDueHellos(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId>;

/// Takes a welcome. True if it opens the path.
[[nodiscard]] auto ApplyWelcome(RelayPeers& state,
                                const EntryId& entry,
                                std::uint64_t incarnation,
                                bool stopping,
                                TimePoint now) -> bool;

/// Notes a batch of replies.
auto RecordReplies(RelayPeers& state,
                   const EntryId& entry,
                   bool stopping,
                   TimePoint now) -> void;

/// Notes that the helper handed orders back for being busy. The path gets no
/// orders during the pause, but stays open. True if the pause begins.
[[nodiscard]] auto RecordBusy(RelayPeers& state,
                              const EntryId& entry,
                              TimePoint now) -> bool;

/// Notes that a message to the helper found no connection or a full queue. The
/// path is used again after the next welcome. True if this closes the path.
[[nodiscard]] auto RecordSendFailure(RelayPeers& state, const EntryId& entry)
    -> bool;

/// Notes that an order had no reply in time. True if this pauses the path:
/// nothing was heard since the order was sent.
[[nodiscard]] auto RecordUnanswered(RelayPeers& state,
                                    const EntryId& entry,
                                    TimePoint sent_at,
                                    TimePoint now) -> bool;

/// Closes the paths whose helpers are silent and gives their names.
[[nodiscard]] auto CloseUnresponsivePeers(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId>;

/// Removes the paths that are chosen no more and have no open orders, and gives
/// their names.
[[nodiscard]] auto RemoveUnselectedPeers(RelayPeers& state,
                                         const PendingOrders& pending)
    -> std::vector<EntryId>;

[[nodiscard]] auto IsUsable(const RelayPeer& relay_peer, TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEERS_H_
