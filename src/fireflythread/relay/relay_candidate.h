#ifndef FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_
#define FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/ownership/fwd.h"

namespace fireflythread {

/// Another entry as its row shows it.
struct RelayCandidate {
  EntryId entry;
  std::uint64_t incarnation = 0;
  /// Where it listens for peers; empty when it takes no orders.
  std::string address;
  bool alive = false;
  bool stopping = false;
  bool owns_shard = false;
  /// Share of the workers that it is to call, relative to other entries.
  double weight = 1;
};

/// All other entries. While the entries' rows cannot be read, an entry counts
/// as alive if it did at the last reading.
[[nodiscard]] auto ListCandidates(const OwnershipState& state)
    -> std::vector<RelayCandidate>;

/// The candidates that an owner links to: those that are alive, take orders and
/// own no shard, or, if there are none, those that own one.
[[nodiscard]] auto ChooseRelayPeers(
    const std::vector<RelayCandidate>& candidates)
    -> std::vector<RelayCandidate>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_CANDIDATE_H_
