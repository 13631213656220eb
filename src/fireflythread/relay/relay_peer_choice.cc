#include "fireflythread/relay/relay_peer_choice.h"

#include <cmath>

#include "fireflythread/base/stable_hash.h"
#include "fireflythread/relay/relay_peers.h"

namespace fireflythread {
namespace {

/// Maps a hash to a uniformly distributed value above 0 and below 1.
auto ToUnit(std::uint64_t hash) -> double {
  constexpr int kSpareBits = 11;
  constexpr double kStep = 1.0 / (std::uint64_t{1} << 53);
  return (static_cast<double>(hash >> kSpareBits) + 0.5) * kStep;
}

auto Score(const RelayPeer& relay_peer, std::uint64_t worker_hash) -> double {
  return relay_peer.weight /
         -std::log(ToUnit(MixBits(worker_hash ^ relay_peer.hash)));
}

}  // namespace

auto ChooseRelayPeer(const RelayPeers& state,
                     const WorkerId& worker,
                     TimePoint now) -> const RelayPeer* {
  const std::uint64_t worker_hash = StableHash(worker.value);
  const RelayPeer* best = nullptr;
  double best_score = 0;
  for (const auto& [id, relay_peer] : state.peers) {
    if (!IsUsable(relay_peer, now)) {
      continue;
    }
    const double score = Score(relay_peer, worker_hash);
    if (best == nullptr || score > best_score) {
      best = &relay_peer;
      best_score = score;
    }
  }
  return best;
}

}  // namespace fireflythread
