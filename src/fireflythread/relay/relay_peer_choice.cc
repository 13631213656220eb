#include "fireflythread/relay/relay_peer_choice.h"

#include <cmath>

#include "fireflythread/relay/relay_peers.h"

namespace fireflythread {
namespace {

/// Offset and prime of the 64-bit FNV-1a hash.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

/// Finalizer of SplitMix64: each input bit changes half of the output bits on
/// average.
auto Mix(std::uint64_t value) -> std::uint64_t {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/// Maps a hash to a uniformly distributed value above 0 and below 1.
auto ToUnit(std::uint64_t hash) -> double {
  constexpr int kSpareBits = 11;
  constexpr double kStep = 1.0 / (std::uint64_t{1} << 53);
  return (static_cast<double>(hash >> kSpareBits) + 0.5) * kStep;
}

auto Score(const RelayPeer& relay_peer, std::uint64_t worker_hash) -> double {
  return relay_peer.weight /
         -std::log(ToUnit(Mix(worker_hash ^ relay_peer.hash)));
}

}  // namespace

auto HashName(std::string_view name) -> std::uint64_t {
  std::uint64_t hash = kFnvOffset;
  for (const char byte : name) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  }
  return Mix(hash);
}

auto ChooseRelayPeer(const RelayPeers& state,
                     const WorkerId& worker,
                     TimePoint now) -> const RelayPeer* {
  const std::uint64_t worker_hash = HashName(worker.value);
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
