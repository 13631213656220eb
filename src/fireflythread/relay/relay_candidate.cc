#include "fireflythread/relay/relay_candidate.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "fireflythread/base/stable_hash.h"
#include "fireflythread/ownership/ownership_state.h"
#include "fireflythread/ownership/placement.h"

namespace fireflythread {

namespace {

/// Keeps the candidates with the highest hashes of their pairs with `self`.
auto LimitTo(std::size_t limit,
             const EntryId& self,
             std::vector<RelayCandidate>& candidates) -> void {
  if (candidates.size() <= limit) {
    return;
  }
  const std::uint64_t own_hash = StableHash(self.value);
  const auto score = [own_hash](const RelayCandidate& candidate) {
    return MixBits(own_hash ^ StableHash(candidate.entry.value));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&score](const RelayCandidate& left, const RelayCandidate& right) {
              return score(left) > score(right);
            });
  candidates.resize(limit);
}

}  // namespace

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

auto ChooseRelayPeers(const EntryId& self,
                      const std::vector<RelayCandidate>& candidates)
    -> std::vector<RelayCandidate> {
  std::vector<RelayCandidate> idle;
  std::vector<RelayCandidate> owning;
  for (const RelayCandidate& candidate : candidates) {
    if (candidate.alive && !candidate.stopping && !candidate.address.empty()) {
      (candidate.owns_shard ? owning : idle).push_back(candidate);
    }
  }
  std::vector<RelayCandidate>& chosen = idle.empty() ? owning : idle;
  LimitTo(kMaxRelayPeers, self, chosen);
  return chosen;
}

}  // namespace fireflythread
