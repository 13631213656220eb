#include "fireflythread/membership/membership.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "fireflythread/membership/acceptance.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/membership_settings.h"
#include "fireflythread/membership/ping.h"
#include "fireflythread/membership/recovery.h"

namespace fireflythread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(2);

auto At(int ms) -> TimePoint {
  return TimePoint(milliseconds(ms));
}

auto Peer(int number) -> EntryId {
  return EntryId("e" + std::to_string(number));
}

/// Entry e1 of five, recovered, at configuration 5 and fleet 9.
auto Running() -> Membership {
  Membership membership = MakeMembership(
      Peer(1), 1000, {Peer(1), Peer(2), Peer(3), Peer(4), Peer(5)});
  FinishRecovery(membership, {.config = 5, .fleet = 9});
  return membership;
}

auto Pong(std::uint64_t round, std::uint64_t config = 5) -> PongAnswer {
  return {.round = round,
          .versions = {.config = config, .fleet = 9},
          .recovering = false,
          .unresolved_write = false};
}

auto Offer(std::uint64_t round, std::uint64_t config) -> SnapshotOffer {
  return {.round = round,
          .recovering = false,
          .unresolved_write = false,
          .versions = {.config = config, .fleet = 0},
          .rows = {{"config", "head", 40 + config, std::to_string(config)}}};
}

}  // namespace

// Guards against a confirmation dated to the answer, by which an entry serves
// an older state for the time that the answer was under way.
TEST_CASE("a quorum confirms from the moment the question was sent") {
  Membership membership = Running();
  const auto question = StartPingRound(membership, At(100));
  CHECK_FALSE(MayServe(membership, kLimit, At(100)));
  TakePong(membership, Peer(2), 1, Pong(question.round));
  CHECK_FALSE(MayServe(membership, kLimit, At(150)));
  TakePong(membership, Peer(3), 1, Pong(question.round));
  CHECK(ConfirmedUntil(membership, kLimit) == At(2100));
  CHECK(MayServe(membership, kLimit, At(2100)));
  CHECK_FALSE(MayServe(membership, kLimit, At(2101)));
}

// Guards against confirmations by answers that prove nothing: duplicates,
// strangers, a predecessor's rounds, newer versions, recovering entries and
// entries with an unresolved write.
TEST_CASE("answers that do not vouch are not counted") {
  Membership membership = Running();
  const auto question = StartPingRound(membership, At(0));
  TakePong(membership, Peer(2), 1, Pong(question.round));
  SECTION("the same peer twice") {
    TakePong(membership, Peer(2), 1, Pong(question.round));
  }
  SECTION("a stranger") {
    CHECK_FALSE(TakePong(membership, Peer(9), 1, Pong(question.round)));
  }
  SECTION("itself") {
    CHECK_FALSE(TakePong(membership, Peer(1), 1, Pong(question.round)));
  }
  SECTION("a round of another incarnation") {
    CHECK_FALSE(TakePong(membership, Peer(3), 1, Pong(7)));
  }
  SECTION("a newer version") {
    TakePong(membership, Peer(3), 1, Pong(question.round, 6));
    CHECK(HighestKnown(membership, HeadKind::kConfig) == 6);
  }
  SECTION("a recovering peer") {
    PongAnswer answer = Pong(question.round);
    answer.recovering = true;
    TakePong(membership, Peer(3), 1, answer);
    // A second answer after the recovery does not undo the first.
    TakePong(membership, Peer(3), 1, Pong(question.round));
  }
  SECTION("an unresolved write") {
    PongAnswer answer = Pong(question.round);
    answer.unresolved_write = true;
    TakePong(membership, Peer(3), 1, answer);
  }
  SECTION("an unresolved write of its own") {
    BeginWrite(membership, "w");
    TakePong(membership, Peer(3), 1, Pong(question.round));
    CHECK_FALSE(MayServe(membership, kLimit, At(10)));
    CHECK(AnswerPing(membership, {}).unresolved_write);
    ResolveWrite(membership, "w");
    CHECK(MayServe(membership, kLimit, At(10)));
    return;
  }
  CHECK_FALSE(MayServe(membership, kLimit, At(10)));
}

// Guards against an entry that was frozen and, on resuming, counts the answers
// that queued up meanwhile as fresh.
TEST_CASE("late answers confirm only the past") {
  Membership membership = Running();
  const auto question = StartPingRound(membership, At(0));
  TakePong(membership, Peer(2), 1, Pong(question.round));
  TakePong(membership, Peer(3), 1, Pong(question.round));
  CHECK_FALSE(MayServe(membership, kLimit, At(60000)));
}

// Guards against an entry that reads a newer head and goes on serving by the
// older version, or that stops at once although it was confirmed just before.
TEST_CASE("a store read confirms only what has been applied") {
  Membership membership = Running();
  TakeStoreRead(membership, HeadKind::kConfig, 5, At(0));
  CHECK_FALSE(MayServe(membership, kLimit, At(1)));
  TakeStoreRead(membership, HeadKind::kFleet, 9, At(50));
  CHECK(ConfirmedUntil(membership, kLimit) == At(2000));
  TakeStoreRead(membership, HeadKind::kFleet, 9, At(600));
  TakeStoreRead(membership, HeadKind::kConfig, 6, At(550));
  // Answered late: it was sent before the read that showed version 6.
  TakeStoreRead(membership, HeadKind::kConfig, 5, At(580));
  CHECK(ConfirmedUntil(membership, kLimit) == At(2000));
  SetApplied(membership, HeadKind::kConfig, 6);
  CHECK(ConfirmedUntil(membership, kLimit) == At(2580));
  SetApplied(membership, HeadKind::kConfig, 4);
  CHECK(membership.applied.config == 6);
}

// Guards against a restarted entry that serves or vouches by nothing, or that
// recovers from too few peers to include every accepted version.
TEST_CASE("an entry recovers from a majority other than itself") {
  Membership membership = MakeMembership(
      Peer(1), 1000, {Peer(1), Peer(2), Peer(3), Peer(4), Peer(5)});
  TakeStoreRead(membership, HeadKind::kConfig, 8, At(0));
  TakeStoreRead(membership, HeadKind::kFleet, 0, At(0));
  CHECK_FALSE(MayServe(membership, kLimit, At(0)));
  CHECK(AnswerPing(membership, {}).recovering);

  const std::uint64_t round = StartRecovery(membership);
  CHECK(StartRecovery(membership) == round);
  CHECK(TakeOffer(membership, Peer(2), Offer(round, 5)));
  CHECK(TakeOffer(membership, Peer(3), Offer(round, 6)));
  SnapshotOffer refused = Offer(round, 6);
  refused.recovering = true;
  CHECK_FALSE(TakeOffer(membership, Peer(4), refused));
  SnapshotOffer torn = Offer(round, 6);
  torn.versions.config = 7;
  CHECK_FALSE(TakeOffer(membership, Peer(4), torn));
  CHECK_FALSE(TakeOffer(membership, Peer(4), Offer(round + 1, 6)));
  SnapshotOffer unresolved = Offer(round, 7);
  unresolved.unresolved_write = true;
  CHECK(TakeOffer(membership, Peer(4), unresolved));
  CHECK_FALSE(RecoveredByQuorum(membership));
  CHECK(TakeOffer(membership, Peer(5), Offer(round, 5)));

  const auto state = RecoveredByQuorum(membership);
  REQUIRE(state);
  CHECK(state->versions.config == 7);
  CHECK(state->config_rows.size() == 1);
  FinishRecovery(membership, state->versions);
  CHECK_FALSE(MayServe(membership, kLimit, At(0)));
  CHECK(OfferSnapshot(membership, 3, {}).versions.config == 7);
}

// Guards against an edit reported as accepted by reports of different moments:
// e2 reports the version, restarts and recovers an older one, and then a
// quorum without the version exists.
TEST_CASE("a version is accepted at a moment that a majority shares") {
  Membership membership = Running();
  SetApplied(membership, HeadKind::kConfig, 6);
  AcceptanceWatch watch{.kind = HeadKind::kConfig,
                        .version = 6,
                        .spans = {},
                        .accepted_at = std::nullopt};
  const auto pong = [&](int peer, std::uint64_t incarnation,
                        std::uint64_t round, int now) {
    TakePong(membership, Peer(peer), incarnation, Pong(round, 6));
    WatchPong(watch, membership, Peer(peer), incarnation, Pong(round, 6),
              At(now));
  };
  const auto first = StartPingRound(membership, At(0));
  pong(2, 1, first.round, 10);
  pong(3, 1, first.round, 20);
  CHECK_FALSE(WatchSelf(watch, membership, At(30)));
  const auto second = StartPingRound(membership, At(100));
  pong(3, 1, second.round, 110);
  SECTION("the same incarnation reports again") {
    pong(2, 1, second.round, 120);
    CHECK(WatchSelf(watch, membership, At(120)));
  }
  SECTION("another incarnation reports") {
    pong(2, 2, second.round, 120);
    CHECK_FALSE(WatchSelf(watch, membership, At(120)));
  }
}

// Guards against a drain that waits for ever for a dead member, and against
// one that gives up on a member that may still send by the older version.
TEST_CASE("a silent member is gone only after it must have stopped") {
  Membership membership = Running();
  const MembershipSettings settings;
  AcceptanceWatch watch{.kind = HeadKind::kFleet,
                        .version = 9,
                        .spans = {},
                        .accepted_at = std::nullopt};
  CHECK(GoneMembers(watch, membership, settings, At(900000)).empty());
  watch.accepted_at = At(1000);
  CHECK(GoneMembers(watch, membership, settings, At(33000)).empty());
  const auto question = StartPingRound(membership, At(30000));
  TakePong(membership, Peer(2), 1, Pong(question.round));
  PongAnswer behind = Pong(question.round);
  behind.versions.fleet = 8;
  TakePong(membership, Peer(3), 1, behind);
  CHECK(GoneMembers(watch, membership, settings, At(33001)) ==
        std::vector<EntryId>{Peer(3), Peer(4), Peer(5)});
  CHECK(SilentPeers(membership, seconds(2), At(31000)) ==
        std::vector<EntryId>{Peer(4), Peer(5)});
}

}  // namespace fireflythread
