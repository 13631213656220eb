#include "fireflythread/relay/relay_peer_choice.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "fireflythread/relay/relay_peers.h"

namespace fireflythread::test {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr int kWorkers = 20000;

auto MakeRelayPeers(const std::vector<double>& weights) -> RelayPeers {
  std::vector<RelayCandidate> candidates;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    RelayCandidate candidate;
    candidate.entry = EntryId("depot-" + std::to_string(i));
    candidate.incarnation = 1;
    candidate.address = "127.0.0.1:1";
    candidate.weight = weights[i];
    candidates.push_back(candidate);
  }
  RelayPeers state;
  SetRelayPeers(state, candidates);
  for (const RelayCandidate& candidate : candidates) {
    REQUIRE(ApplyWelcome(state, candidate.entry, 1, false, kNow));
  }
  return state;
}

auto ChooseAll(const RelayPeers& state, TimePoint now = kNow)
    -> std::vector<EntryId> {
  std::vector<EntryId> choices;
  for (int i = 0; i < kWorkers; ++i) {
    const RelayPeer* relay_peer =
        ChooseRelayPeer(state, WorkerId("i-" + std::to_string(i)), now);
    REQUIRE(relay_peer != nullptr);
    choices.push_back(relay_peer->entry);
  }
  return choices;
}

}  // namespace

// Guards against an order that is sent to an unusable relay peer.
TEST_CASE("No relay peer is chosen if none is usable") {
  CHECK(ChooseRelayPeer(RelayPeers{}, WorkerId("i-1"), kNow) == nullptr);
  RelayPeers state = MakeRelayPeers({1});
  CHECK(ChooseRelayPeer(state, WorkerId("i-1"), kNow) != nullptr);
  SetRelayPeers(state, {});
  CHECK(ChooseRelayPeer(state, WorkerId("i-1"), kNow) == nullptr);
}

// Guards against reopening the connections to all workers whenever an entry
// starts or ends.
TEST_CASE("Only the workers of an unusable relay peer are reassigned") {
  RelayPeers state = MakeRelayPeers({1, 4, 1, 2});
  const std::vector<EntryId> before = ChooseAll(state);
  const EntryId gone("depot-1");
  CHECK(RecordSendFailure(state, gone));
  const std::vector<EntryId> after = ChooseAll(state);
  int moved_to_others = 0;
  for (int i = 0; i < kWorkers; ++i) {
    CHECK(after[i] != gone);
    if (before[i] == gone) {
      moved_to_others += after[i] != before[(i + 1) % kWorkers] ? 1 : 0;
    } else {
      CHECK(after[i] == before[i]);
    }
  }
  CHECK(moved_to_others > 0);
}

// Guards against reassigning the workers of other relay peers while one is
// busy, and against workers that do not return to the busy one after its pause.
TEST_CASE("A busy relay peer gets its workers back after its pause",
          "[relay]") {
  RelayPeers state = MakeRelayPeers({1, 4, 1, 2});
  const std::vector<EntryId> before = ChooseAll(state);
  const EntryId busy("depot-1");
  CHECK(RecordBusy(state, busy, kNow));
  const std::vector<EntryId> during = ChooseAll(state);
  const std::vector<EntryId> after = ChooseAll(state, kNow + kBusyPause);
  int of_busy = 0;
  int wrong = 0;
  for (int i = 0; i < kWorkers; ++i) {
    of_busy += before[i] == busy ? 1 : 0;
    wrong += during[i] == busy ? 1 : 0;
    wrong += before[i] != busy && during[i] != before[i] ? 1 : 0;
  }
  CHECK(of_busy > 0);
  CHECK(wrong == 0);
  CHECK(after == before);
}

// Guards against a small entry that gets as many workers as a large one.
TEST_CASE("Workers are distributed in proportion to the weights") {
  const std::vector<double> weights = {0.12, 0.12, 0.25, 0.5};
  std::map<EntryId, int> counts;
  for (const EntryId& entry : ChooseAll(MakeRelayPeers(weights))) {
    ++counts[entry];
  }
  double sum = 0;
  for (const double weight : weights) {
    sum += weight;
  }
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const double expected = kWorkers * weights[i] / sum;
    // 10% are five standard deviations of a count of 2,400.
    CHECK(counts[EntryId("depot-" + std::to_string(i))] ==
          Approx(expected).epsilon(0.1));
  }
}

}  // namespace fireflythread::test
