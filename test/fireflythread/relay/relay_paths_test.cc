#include "fireflythread/relay/relay_paths.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/relay/pending_orders.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const EntryId kHelper("h");  // NOLINT: a constant of a test

auto Helper(std::uint64_t incarnation = 1) -> RelayCandidate {
  RelayCandidate helper;
  helper.entry = kHelper;
  helper.incarnation = incarnation;
  helper.address = "127.0.0.1:1";
  helper.alive = true;
  return helper;
}

auto OpenPath() -> RelayPaths {
  RelayPaths state;
  SetHelpers(state, {Helper()});
  REQUIRE(TakeWelcome(state, kHelper, 1, false, kStart));
  return state;
}

auto IsUsableAt(const RelayPaths& state, TimePoint now) -> bool {
  return IsUsable(state.paths.at(kHelper), now);
}

}  // namespace

// Guards against orders sent to a process that does not know their owner.
TEST_CASE("a path is used after the welcome of the present incarnation") {
  RelayPaths state;
  SetHelpers(state, {Helper(2)});
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK_FALSE(TakeWelcome(state, kHelper, 1, false, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(TakeWelcome(state, kHelper, 2, false, kStart));
  CHECK_FALSE(TakeWelcome(state, kHelper, 2, false, kStart));
  CHECK(IsUsableAt(state, kStart));
  SetHelpers(state, {Helper(2)});
  CHECK(IsUsableAt(state, kStart));
  SetHelpers(state, {Helper(3)});
  CHECK_FALSE(IsUsableAt(state, kStart));
}

// Guards against hellos that cease before they are answered.
TEST_CASE("hellos are repeated until they are answered") {
  RelayPaths state;
  SetHelpers(state, {Helper()});
  CHECK(TakeDueHellos(state, kStart).size() == 1);
  CHECK(TakeDueHellos(state, kStart + milliseconds(249)).empty());
  CHECK(TakeDueHellos(state, kStart + milliseconds(250)).size() == 1);
  REQUIRE(TakeWelcome(state, kHelper, 1, false, kStart + milliseconds(251)));
  CHECK(TakeDueHellos(state, kStart + milliseconds(500)).size() == 1);
  CHECK(TakeDueHellos(state, kStart + milliseconds(1499)).empty());
  CHECK(TakeDueHellos(state, kStart + milliseconds(1500)).size() == 1);
}

// Guards against orders that go on being lost at a helper that is gone.
TEST_CASE("an unanswered order pauses a path from which nothing was heard") {
  RelayPaths state = OpenPath();
  const TimePoint sent = kStart + milliseconds(10);
  const TimePoint overdue = sent + milliseconds(1300);
  CHECK(NoteUnanswered(state, kHelper, sent, overdue));
  CHECK_FALSE(NoteUnanswered(state, kHelper, sent, overdue));
  CHECK(TakeWelcome(state, kHelper, 1, false, overdue));
  CHECK_FALSE(IsUsableAt(state, overdue + milliseconds(1999)));
  CHECK(IsUsableAt(state, overdue + milliseconds(2000)));
}

// Guards against a pause of a path that works, for one lost message.
TEST_CASE("a path that answers is not paused") {
  RelayPaths state = OpenPath();
  const TimePoint sent = kStart + milliseconds(10);
  NoteReplies(state, kHelper, false, sent + milliseconds(1));
  CHECK_FALSE(NoteUnanswered(state, kHelper, sent, sent + milliseconds(1300)));
  CHECK(IsUsableAt(state, sent + milliseconds(1300)));
}

// Guards against orders that wait for nothing at a helper that cannot keep up.
TEST_CASE("a path whose helper is busy is left alone for a while", "[relay]") {
  RelayPaths state = OpenPath();
  const TimePoint again = kStart + milliseconds(300);
  CHECK(NoteBusy(state, kHelper, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart + milliseconds(499)));
  CHECK(IsUsableAt(state, kStart + milliseconds(500)));
  CHECK_FALSE(NoteBusy(state, kHelper, again));
  CHECK_FALSE(TakeWelcome(state, kHelper, 1, false, again));
  CHECK_FALSE(IsUsableAt(state, again + milliseconds(499)));
  CHECK(IsUsableAt(state, again + milliseconds(500)));
  CHECK(NoteBusy(state, kHelper, again + milliseconds(500)));
  CHECK_FALSE(NoteBusy(state, EntryId("stranger"), kStart));
}

// Guards against a busy helper that vanishes and is not noticed for its pause.
TEST_CASE("a busy path is paused for an unanswered order", "[relay]") {
  RelayPaths state = OpenPath();
  const TimePoint sent = kStart + milliseconds(10);
  CHECK(NoteBusy(state, kHelper, kStart));
  CHECK(NoteUnanswered(state, kHelper, sent, sent + milliseconds(100)));
  CHECK_FALSE(IsUsableAt(state, sent + milliseconds(2099)));
}

// Guards against orders to a helper that is about to end.
TEST_CASE("a helper that stops gets no more orders in this life") {
  RelayPaths state = OpenPath();
  NoteReplies(state, kHelper, true, kStart);
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK_FALSE(TakeWelcome(state, kHelper, 1, false, kStart));
  CHECK_FALSE(IsUsableAt(state, kStart));
  SetHelpers(state, {Helper(2)});
  CHECK(TakeWelcome(state, kHelper, 2, false, kStart));
  CHECK(IsUsableAt(state, kStart));
}

// Guards against a path that is used without a sign of life.
TEST_CASE("a silent path and one without a connection are closed") {
  RelayPaths state = OpenPath();
  CHECK(CloseSilentPaths(state, kStart + milliseconds(2999)).empty());
  CHECK(CloseSilentPaths(state, kStart + milliseconds(3000)).size() == 1);
  CHECK(CloseSilentPaths(state, kStart + milliseconds(3000)).empty());
  CHECK_FALSE(IsUsableAt(state, kStart + milliseconds(3000)));
  state = OpenPath();
  CHECK(NoteSendFailure(state, kHelper));
  CHECK_FALSE(NoteSendFailure(state, kHelper));
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(TakeDueHellos(state, kStart).size() == 1);
}

// Guards against replies that are lost because their link is closed early.
TEST_CASE("a path that is chosen no more stays until its orders are answered") {
  RelayPaths state = OpenPath();
  PendingOrders pending;
  const std::uint64_t number = AddPending(
      pending, {kHelper, {PollCommand{}, milliseconds(1)}, {}, kStart});
  CHECK(DropUnwanted(state, pending).empty());
  SetHelpers(state, {});
  CHECK_FALSE(IsUsableAt(state, kStart));
  CHECK(DropUnwanted(state, pending).empty());
  CHECK(TakeDueHellos(state, kStart + milliseconds(5000)).empty());
  REQUIRE(TakePending(pending, number, kHelper).has_value());
  CHECK(DropUnwanted(state, pending) == std::vector<EntryId>{kHelper});
  CHECK(state.paths.empty());
}

}  // namespace fireflythread::test
