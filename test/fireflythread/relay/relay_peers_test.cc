#include "fireflythread/relay/relay_peers.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/relay/pending_orders.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const EntryId kPeerId("h");  // NOLINT: a constant of a test

auto MakeCandidate(std::uint64_t incarnation = 1) -> RelayCandidate {
  RelayCandidate candidate;
  candidate.entry = kPeerId;
  candidate.incarnation = incarnation;
  candidate.address = "127.0.0.1:1";
  candidate.alive = true;
  return candidate;
}

auto OpenRelayPeer() -> RelayPeers {
  RelayPeers state;
  SetRelayPeers(state, {MakeCandidate()});
  REQUIRE(ApplyWelcome(state, kPeerId, 1, false, kStart));
  return state;
}

auto IsUsableAt(const RelayPeers& state, TimePoint now) -> bool {
  return IsUsable(state.peers.at(kPeerId), now);
}

}  // namespace

// Guards against orders sent to a process that does not know their owner.
TEST_CASE("A relay peer is usable after a welcome of its current incarnation") {
  RelayPeers state;
  SetRelayPeers(state, {MakeCandidate(2)});
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK_FALSE(ApplyWelcome(state, kPeerId, 1, false, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(ApplyWelcome(state, kPeerId, 2, false, kStart));
  CHECK_FALSE(ApplyWelcome(state, kPeerId, 2, false, kStart));
  CHECK(IsUsableAt(state, kStart));
  SetRelayPeers(state, {MakeCandidate(2)});
  CHECK(IsUsableAt(state, kStart));
  SetRelayPeers(state, {MakeCandidate(3)});
  CHECK_FALSE(IsUsableAt(state, kStart));
}

// Guards against hellos that stop before they are answered.
TEST_CASE("Hellos are repeated until they are answered") {
  RelayPeers state;
  SetRelayPeers(state, {MakeCandidate()});
  CHECK(CollectDueHellos(state, kStart).size() == 1);
  CHECK(CollectDueHellos(state, kStart + milliseconds(249)).empty());
  CHECK(CollectDueHellos(state, kStart + milliseconds(250)).size() == 1);
  REQUIRE(ApplyWelcome(state, kPeerId, 1, false, kStart + milliseconds(251)));
  CHECK(CollectDueHellos(state, kStart + milliseconds(1250)).empty());
  CHECK(CollectDueHellos(state, kStart + milliseconds(1251)).size() == 1);
  CHECK(CollectDueHellos(state, kStart + milliseconds(2250)).empty());
  CHECK(CollectDueHellos(state, kStart + milliseconds(2251)).size() == 1);
}

// Guards against a cost of hellos that grows with the owners times their relay
// peers while orders and replies show that both are alive.
TEST_CASE("A relay peer that sends replies gets no hellos") {
  RelayPeers state = OpenRelayPeer();
  TimePoint now = kStart;
  (void)CollectDueHellos(state, now);
  for (int reply = 0; reply < 100; ++reply) {
    now += milliseconds(100);
    RecordReplies(state, kPeerId, false, now);
    CHECK(CollectDueHellos(state, now).empty());
  }
  // Silence is still found out before the relay peer counts as unresponsive.
  now += milliseconds(999);
  CHECK(CollectDueHellos(state, now).empty());
  now += milliseconds(1);
  CHECK(CollectDueHellos(state, now).size() == 1);
  now += milliseconds(1000);
  CHECK(CollectDueHellos(state, now).size() == 1);
  CHECK(CloseUnresponsivePeers(state, now).empty());
}

// Guards against sending further orders to a relay peer that has ended.
TEST_CASE("An unanswered order pauses a relay peer that sent nothing since") {
  RelayPeers state = OpenRelayPeer();
  const TimePoint sent = kStart + milliseconds(10);
  const TimePoint overdue = sent + milliseconds(1300);
  CHECK(RecordUnanswered(state, kPeerId, sent, overdue));
  CHECK_FALSE(RecordUnanswered(state, kPeerId, sent, overdue));
  CHECK(ApplyWelcome(state, kPeerId, 1, false, overdue));
  CHECK_FALSE(IsUsableAt(state, overdue + milliseconds(1999)));
  CHECK(IsUsableAt(state, overdue + milliseconds(2000)));
}

// Guards against pausing a working relay peer because of one lost message.
TEST_CASE("A relay peer that answers is not paused") {
  RelayPeers state = OpenRelayPeer();
  const TimePoint sent = kStart + milliseconds(10);
  RecordReplies(state, kPeerId, false, sent + milliseconds(1));
  CHECK_FALSE(
      RecordUnanswered(state, kPeerId, sent, sent + milliseconds(1300)));
  CHECK(IsUsableAt(state, sent + milliseconds(1300)));
}

// Guards against sending further orders to an overloaded relay peer.
TEST_CASE("A busy relay peer gets no orders during its pause", "[relay]") {
  RelayPeers state = OpenRelayPeer();
  const TimePoint again = kStart + milliseconds(300);
  CHECK(RecordBusy(state, kPeerId, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart + milliseconds(499)));
  CHECK(IsUsableAt(state, kStart + milliseconds(500)));
  CHECK_FALSE(RecordBusy(state, kPeerId, again));
  CHECK_FALSE(ApplyWelcome(state, kPeerId, 1, false, again));
  CHECK_FALSE(IsUsableAt(state, again + milliseconds(499)));
  CHECK(IsUsableAt(state, again + milliseconds(500)));
  CHECK(RecordBusy(state, kPeerId, again + milliseconds(500)));
  CHECK_FALSE(RecordBusy(state, EntryId("stranger"), kStart));
}

// Guards against a busy relay peer whose end is not detected during its pause.
TEST_CASE("A busy relay peer is paused for an unanswered order", "[relay]") {
  RelayPeers state = OpenRelayPeer();
  const TimePoint sent = kStart + milliseconds(10);
  CHECK(RecordBusy(state, kPeerId, kStart));
  CHECK(RecordUnanswered(state, kPeerId, sent, sent + milliseconds(100)));
  CHECK_FALSE(IsUsableAt(state, sent + milliseconds(2099)));
}

// Guards against orders to a relay peer that is about to end.
TEST_CASE("A stopping relay peer gets no more orders in this incarnation") {
  RelayPeers state = OpenRelayPeer();
  RecordReplies(state, kPeerId, true, kStart);
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK_FALSE(ApplyWelcome(state, kPeerId, 1, false, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart));
  SetRelayPeers(state, {MakeCandidate(2)});
  CHECK(ApplyWelcome(state, kPeerId, 2, false, kStart));
  CHECK(IsUsableAt(state, kStart));
}

// Guards against using a relay peer that no longer sends messages.
TEST_CASE("An unresponsive or disconnected relay peer is closed") {
  RelayPeers state = OpenRelayPeer();
  CHECK(CloseUnresponsivePeers(state, kStart + milliseconds(2999)).empty());
  CHECK(CloseUnresponsivePeers(state, kStart + milliseconds(3000)).size() == 1);
  CHECK(CloseUnresponsivePeers(state, kStart + milliseconds(3000)).empty());
  CHECK_FALSE(IsUsableAt(state, kStart + milliseconds(3000)));
  state = OpenRelayPeer();
  CHECK(RecordSendFailure(state, kPeerId));
  CHECK_FALSE(RecordSendFailure(state, kPeerId));
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(CollectDueHellos(state, kStart).size() == 1);
}

// Guards against replies that are lost because the connection closes too early.
TEST_CASE("An unselected relay peer stays until its orders are answered") {
  RelayPeers state = OpenRelayPeer();
  PendingOrders pending;
  const std::uint64_t number = AddPending(
      pending, {kPeerId, {PollCommand{}, milliseconds(1)}, {}, kStart});
  CHECK(RemoveUnselectedPeers(state, pending).empty());
  SetRelayPeers(state, {});
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(RemoveUnselectedPeers(state, pending).empty());
  CHECK(CollectDueHellos(state, kStart + milliseconds(5000)).empty());
  REQUIRE(TakePending(pending, number, kPeerId).has_value());
  CHECK(RemoveUnselectedPeers(state, pending) == std::vector<EntryId>{kPeerId});
  CHECK(state.peers.empty());
}

}  // namespace fireflythread::test
