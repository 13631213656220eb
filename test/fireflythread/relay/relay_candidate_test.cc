#include "fireflythread/relay/relay_candidate.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/ownership/ownership.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

/// Returns the row that an entry writes.
auto RowOf(const char* entry,
           const char* peer,
           bool stopping,
           std::uint64_t version) -> Row {
  OwnershipState state;
  state.self = EntryId(entry);
  state.incarnation = version;
  state.stopping = stopping;
  state.peer = peer;
  const Transaction renewal = MakeRenewal(state, TimePoint());
  return {renewal.writes.at(0).table, renewal.writes.at(0).key, version,
          *renewal.writes.at(0).value};
}

auto Names(const std::vector<RelayCandidate>& candidates) -> std::string {
  std::string names;
  for (const RelayCandidate& candidate : candidates) {
    names += candidate.entry.value;
  }
  return names;
}

auto MakeState() -> OwnershipState {
  OwnershipState state;
  state.self = EntryId("s");
  ApplyEntryRows(
      state,
      {RowOf("a", "10.0.0.1:2", false, 1), RowOf("b", "10.0.0.2:2", false, 2),
       RowOf("c", "", false, 3), RowOf("d", "10.0.0.4:2", true, 4),
       RowOf("s", "10.0.0.9:2", false, 9)},
      kStart);
  return state;
}

}  // namespace

// Guards against connections to entries that have ended, are stopping or do not
// listen for peers, and against relaying through an entry that owns a shard
// while others are available.
TEST_CASE("Relay peers are live entries, preferably without a shard") {
  OwnershipState state = MakeState();
  CHECK(Names(ListCandidates(state)) == "abcd");
  CHECK(ListCandidates(state).at(1).address == "10.0.0.2:2");
  CHECK(ListCandidates(state).at(1).incarnation == 2);
  CHECK(Names(ChooseRelayPeers(state.self, ListCandidates(state))) == "ab");
  ApplyShardRow(
      state,
      {std::string(kShardTable), "p", 10, R"({"owner":"a","incarnation":1})"},
      TimePoint());
  CHECK(Names(ChooseRelayPeers(state.self, ListCandidates(state))) == "b");
  ApplyShardRow(
      state,
      {std::string(kShardTable), "q", 11, R"({"owner":"b","incarnation":2})"},
      TimePoint());
  CHECK(Names(ChooseRelayPeers(state.self, ListCandidates(state))) == "ab");
}

// Guards against dropping all relay peers while the store is unavailable.
TEST_CASE("Entries count as alive as of the last read of their rows") {
  OwnershipState state = MakeState();
  const TimePoint later = kStart + milliseconds(3000);
  ApplyEntryRows(
      state,
      {RowOf("a", "10.0.0.1:2", false, 1), RowOf("b", "10.0.0.2:2", false, 20)},
      later);
  CHECK(Names(ChooseRelayPeers(state.self, ListCandidates(state))) == "b");
}

// Guards against links and heartbeats that grow with the owners times the
// entries: 15 owners with 132 relay peers each.
TEST_CASE("An owner has a bounded number of relay peers") {
  constexpr int kEntries = 132;
  std::vector<RelayCandidate> candidates;
  for (int number = 0; number < kEntries; ++number) {
    RelayCandidate candidate;
    candidate.entry = EntryId("entry-" + std::to_string(number));
    candidate.address = "10.0.0.1:2";
    candidate.alive = true;
    candidates.push_back(candidate);
  }
  const auto names = [&candidates](const char* owner) {
    std::set<std::string> chosen;
    for (const RelayCandidate& candidate :
         ChooseRelayPeers(EntryId(owner), candidates)) {
      chosen.insert(candidate.entry.value);
    }
    return chosen;
  };
  const std::set<std::string> before = names("a");
  CHECK(before.size() == kMaxRelayPeers);
  // Owners use different ones, so that the work is spread over all entries.
  CHECK(names("b") != before);
  // When one leaves, the others stay.
  std::erase_if(candidates, [&before](const RelayCandidate& candidate) {
    return candidate.entry.value == *before.begin();
  });
  std::set<std::string> kept;
  const std::set<std::string> after = names("a");
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::inserter(kept, kept.end()));
  CHECK(kept.size() == kMaxRelayPeers - 1);
}

}  // namespace fireflythread::test
