#include "fireflythread/relay/relay_candidate.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "fireflythread/ownership/ownership_state.h"
#include "fireflythread/ownership/placement.h"

namespace fireflythread {

auto ListCandidates(const OwnershipState& state)
    -> std::vector<RelayCandidate> {
  std::set<EntryId> owners;
  for (const auto& [name, shard] : state.shards) {
    owners.insert(shard.owner);
  }
  std::vector<RelayCandidate> candidates;
  for (const auto& [id, entry] : state.entries) {
    if (id == state.self) {
      continue;
    }
    RelayCandidate candidate;
    candidate.entry = id;
    candidate.incarnation = entry.incarnation;
    candidate.address = entry.peer;
    candidate.alive = state.entries_read_at - entry.changed_at < kEntryTimeout;
    candidate.stopping = entry.stopping;
    candidate.owns_shard = owners.contains(id);
    candidate.weight = CapacityOf(entry.capacity);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

auto ChooseRelayPeers(const std::vector<RelayCandidate>& candidates)
    -> std::vector<RelayCandidate> {
  std::vector<RelayCandidate> idle;
  std::vector<RelayCandidate> owning;
  for (const RelayCandidate& candidate : candidates) {
    if (candidate.alive && !candidate.stopping && !candidate.address.empty()) {
      (candidate.owns_shard ? owning : idle).push_back(candidate);
    }
  }
  return idle.empty() ? owning : idle;
}

}  // namespace fireflythread
