#include "fireflythread/relay/relay_peers.h"

#include <algorithm>

#include "fireflythread/base/stable_hash.h"
#include "fireflythread/relay/pending_orders.h"

namespace fireflythread {
namespace {

auto FindRelayPeer(RelayPeers& state, const EntryId& entry) -> RelayPeer* {
  const auto found = state.peers.find(entry);
  return found == state.peers.end() ? nullptr : &found->second;
}

auto SetRelayPeer(RelayPeer& relay_peer, const RelayCandidate& entry) -> void {
  if (relay_peer.incarnation != entry.incarnation ||
      relay_peer.address != entry.address) {
    relay_peer = RelayPeer{};
    relay_peer.entry = entry.entry;
    relay_peer.incarnation = entry.incarnation;
    relay_peer.address = entry.address;
    relay_peer.hash = StableHash(entry.entry.value);
  }
  relay_peer.weight = entry.weight;
  relay_peer.selected = true;
}

/// Closes the relay peer until its next welcome, and makes a hello due at once.
auto Close(RelayPeer& relay_peer) -> void {
  relay_peer.welcomed = false;
  relay_peer.next_hello = TimePoint{};
}

}  // namespace

auto SetRelayPeers(RelayPeers& state,
                   const std::vector<RelayCandidate>& candidates) -> void {
  for (auto& [id, relay_peer] : state.peers) {
    relay_peer.selected = false;
  }
  for (const RelayCandidate& entry : candidates) {
    SetRelayPeer(state.peers[entry.entry], entry);
  }
}

auto CollectDueHellos(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId> {
  std::vector<EntryId> due;
  for (auto& [id, relay_peer] : state.peers) {
    if (relay_peer.welcomed) {
      // A relay peer that has just sent replies need not be asked.
      relay_peer.next_hello = std::max(
          relay_peer.next_hello, relay_peer.last_message_at + kHelloPeriod);
    }
    if (relay_peer.selected && now >= relay_peer.next_hello) {
      relay_peer.next_hello =
          now + (relay_peer.welcomed ? kHelloPeriod : kHelloRetry);
      due.push_back(id);
    }
  }
  return due;
}

auto ApplyWelcome(RelayPeers& state,
                  const EntryId& entry,
                  std::uint64_t incarnation,
                  bool stopping,
                  TimePoint now) -> bool {
  RelayPeer* relay_peer = FindRelayPeer(state, entry);
  if (relay_peer == nullptr || relay_peer->incarnation != incarnation) {
    return false;
  }
  const bool opens = !relay_peer->welcomed && relay_peer->selected && !stopping;
  relay_peer->welcomed = true;
  relay_peer->stopping = relay_peer->stopping || stopping;
  relay_peer->last_message_at = now;
  return opens;
}

auto RecordReplies(RelayPeers& state,
                   const EntryId& entry,
                   bool stopping,
                   TimePoint now) -> void {
  if (RelayPeer* relay_peer = FindRelayPeer(state, entry)) {
    relay_peer->last_message_at = now;
    relay_peer->stopping = relay_peer->stopping || stopping;
  }
}

auto RecordBusy(RelayPeers& state, const EntryId& entry, TimePoint now)
    -> bool {
  RelayPeer* relay_peer = FindRelayPeer(state, entry);
  if (relay_peer == nullptr) {
    return false;
  }
  const bool begins = now >= relay_peer->busy_until;
  relay_peer->busy_until = now + kBusyPause;
  return begins;
}

auto RecordSendFailure(RelayPeers& state, const EntryId& entry) -> bool {
  RelayPeer* relay_peer = FindRelayPeer(state, entry);
  if (relay_peer == nullptr || !relay_peer->welcomed) {
    return false;
  }
  Close(*relay_peer);
  return true;
}

auto RecordUnanswered(RelayPeers& state,
                      const EntryId& entry,
                      TimePoint sent_at,
                      TimePoint now) -> bool {
  RelayPeer* relay_peer = FindRelayPeer(state, entry);
  if (relay_peer == nullptr || relay_peer->last_message_at >= sent_at ||
      now < relay_peer->paused_until) {
    return false;
  }
  relay_peer->paused_until = now + kUnansweredPause;
  Close(*relay_peer);
  return true;
}

auto CloseUnresponsivePeers(RelayPeers& state, TimePoint now)
    -> std::vector<EntryId> {
  std::vector<EntryId> closed;
  for (auto& [id, relay_peer] : state.peers) {
    if (relay_peer.welcomed &&
        now - relay_peer.last_message_at >= kRelayPeerTimeout) {
      Close(relay_peer);
      closed.push_back(id);
    }
  }
  return closed;
}

auto RemoveUnselectedPeers(RelayPeers& state, const PendingOrders& pending)
    -> std::vector<EntryId> {
  std::vector<EntryId> dropped;
  for (auto relay_peer = state.peers.begin();
       relay_peer != state.peers.end();) {
    if (relay_peer->second.selected || HasPending(pending, relay_peer->first)) {
      ++relay_peer;
      continue;
    }
    dropped.push_back(relay_peer->first);
    relay_peer = state.peers.erase(relay_peer);
  }
  return dropped;
}

auto IsUsable(const RelayPeer& relay_peer, TimePoint now) -> bool {
  return relay_peer.selected && relay_peer.welcomed && !relay_peer.stopping &&
         now >= relay_peer.paused_until && now >= relay_peer.busy_until;
}

}  // namespace fireflythread
