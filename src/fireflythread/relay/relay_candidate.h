#ifndef FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_
#define FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/ownership/fwd.h"

namespace fireflythread {

/// Another entry that could relay orders, as described by its row.
struct RelayCandidate {
  EntryId entry;
  std::uint64_t incarnation = 0;
  /// Address at which it listens for peers; empty if it accepts no orders.
  std::string address;
  bool alive = false;
  bool stopping = false;
  bool owns_shard = false;
  /// Share of the workers that it should call, relative to other entries.
  double weight = 1;
};

/// Returns all other entries. While the entries' rows cannot be read, an entry
/// counts as alive if it was alive when they were last read.
[[nodiscard]] auto ListCandidates(const OwnershipState& state)
    -> std::vector<RelayCandidate>;

/// Upper limit of an owner's relay peers. Without it, the links and their
/// heartbeats would grow with the owners times the entries.
inline constexpr std::size_t kMaxRelayPeers = 32;

/// Returns the candidates that the owner `self` uses as relay peers: those that
/// are alive, accept orders and own no shard, or, if there are none, those that
/// own one. Of more than kMaxRelayPeers, each owner uses others, by rendezvous
/// hashing: when a relay peer leaves, the rest stay.
[[nodiscard]] auto ChooseRelayPeers(
    const EntryId& self,
    const std::vector<RelayCandidate>& candidates)
    -> std::vector<RelayCandidate>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_
