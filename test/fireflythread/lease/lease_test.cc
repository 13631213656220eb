#include "fireflythread/lease/lease.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "fireflythread/lease/lease_record.h"
#include "fireflythread/lease/lease_settings.h"
#include "fireflythread/lease/lease_state.h"

namespace fireflythread {

namespace {

auto At(int ms) -> TimePoint {
  return TimePoint(std::chrono::milliseconds(ms));
}

auto MakeState(const char* name) -> LeaseState {
  LeaseState state;
  state.self = EntryId(name);
  state.incarnation = 77;
  return state;
}

auto LeaseRow(std::uint64_t version, const char* holder, std::uint64_t epoch)
    -> Row {
  return {"lease", "controller", version,
          EncodeLease({.holder = EntryId(holder),
                       .incarnation = 77,
                       .epoch = epoch,
                       .duration = std::chrono::seconds(3)})};
}

auto EpochRow(std::uint64_t version, std::uint64_t epoch) -> Row {
  return {"lease", "controller_epoch", version, std::to_string(epoch)};
}

/// A state that has acquired epoch 1 at time 0 with row version 5.
auto Holder(const LeaseSettings& settings) -> LeaseState {
  LeaseState state = MakeState("a");
  REQUIRE(
      TakeLeaseRows(state, settings, std::nullopt, std::nullopt, At(0), At(0))
          .change == LeaseChange::kNone);
  const auto step = StepLease(state, settings, At(0));
  REQUIRE(step.transaction);
  REQUIRE(TakeLeaseOutcome(state, settings, step.transaction->nonce,
                           Committed{5}, At(10))
              .change == LeaseChange::kAcquired);
  return state;
}

}  // namespace

// Guards against writes of a controller without the epoch condition, and
// against a lease dated to the answer instead of the sending.
TEST_CASE("an acquired lease fences and ends by itself") {
  const LeaseSettings settings;
  LeaseState state = Holder(settings);
  CHECK(FencingToken(state, At(2499)) == 1);
  CHECK(FenceCondition(state, At(2499))->version == 5);
  CHECK_FALSE(HoldsLease(state, At(2500)));
  CHECK(StepLease(state, settings, At(2500)).change == LeaseChange::kLost);
}

// Guards against a holder that runs out its lease while the store works.
TEST_CASE("the holder renews and the renewal extends the lease") {
  const LeaseSettings settings;
  LeaseState state = Holder(settings);
  CHECK_FALSE(StepLease(state, settings, At(999)).transaction);
  const auto step = StepLease(state, settings, At(1000));
  REQUIRE(step.transaction);
  CHECK(step.transaction->conditions[0].version == 5);
  CHECK(step.transaction->writes.size() == 1);
  CHECK(TakeLeaseOutcome(state, settings, step.transaction->nonce, Committed{6},
                         At(1100))
            .change == LeaseChange::kNone);
  CHECK(HoldsLease(state, At(3499)));
  // The epoch row was not written by the renewal.
  CHECK(FenceCondition(state, At(3499))->version == 5);
}

// Guards against a takeover while the holder may still act.
TEST_CASE("a lease is taken over only when unchanged for its duration") {
  const LeaseSettings settings;
  LeaseState state = MakeState("b");
  const auto read = [&](std::uint64_t version, int at) {
    return TakeLeaseRows(state, settings, LeaseRow(version, "a", 4),
                         EpochRow(3, 4), At(at), At(at));
  };
  CHECK_FALSE(read(8, 0).transaction);
  CHECK_FALSE(read(9, 2000).transaction);
  CHECK_FALSE(read(9, 4000).transaction);
  CHECK_FALSE(StepLease(state, settings, At(5000)).transaction);
  const auto step = StepLease(state, settings, At(5001));
  REQUIRE(step.transaction);
  CHECK(step.transaction->conditions[0].version == 9);
  CHECK(step.transaction->conditions[1].version == 3);
  CHECK(step.transaction->writes[1].value == "5");
}

// Guards against two controllers after the answer to an acquisition was lost,
// and against none, when the entry never learns that it holds the lease.
TEST_CASE("an acquisition of unknown result is read back") {
  const LeaseSettings settings;
  LeaseState state = MakeState("a");
  (void)TakeLeaseRows(state, settings, std::nullopt, std::nullopt, At(0),
                      At(0));
  const auto step = StepLease(state, settings, At(0));
  const auto lost = TakeLeaseOutcome(state, settings, step.transaction->nonce,
                                     CommitUnknown{}, At(500));
  CHECK(lost.read_rows);
  CHECK_FALSE(HoldsLease(state, At(500)));
  SECTION("it took effect") {
    CHECK(TakeLeaseRows(state, settings, LeaseRow(5, "a", 1), EpochRow(5, 1),
                        At(510), At(520))
              .change == LeaseChange::kAcquired);
    CHECK(HoldsLease(state, At(2499)));
    CHECK_FALSE(HoldsLease(state, At(2500)));
  }
  SECTION("it had not taken effect, is repeated, and then the first one does") {
    (void)TakeLeaseRows(state, settings, std::nullopt, std::nullopt, At(510),
                        At(520));
    const auto again = StepLease(state, settings, At(600));
    REQUIRE(again.transaction);
    CHECK(TakeLeaseOutcome(state, settings, again.transaction->nonce,
                           Conflict{}, At(700))
              .read_rows);
    CHECK(TakeLeaseRows(state, settings, LeaseRow(5, "a", 1), EpochRow(5, 1),
                        At(710), At(720))
              .change == LeaseChange::kAcquired);
    CHECK_FALSE(HoldsLease(state, At(2500)));
  }
  SECTION("a read from before the loss proves nothing") {
    (void)TakeLeaseRows(state, settings, std::nullopt, std::nullopt, At(400),
                        At(520));
    CHECK_FALSE(StepLease(state, settings, At(600)).transaction);
  }
  SECTION("another entry won") {
    CHECK(TakeLeaseRows(state, settings, LeaseRow(5, "b", 1), EpochRow(5, 1),
                        At(510), At(520))
              .change == LeaseChange::kNone);
    CHECK_FALSE(StepLease(state, settings, At(3000)).transaction);
  }
}

// Guards against a paused holder that resumes and goes on as the controller.
TEST_CASE("a holder that was overtaken steps down") {
  const LeaseSettings settings;
  LeaseState state = Holder(settings);
  const auto renewal = StepLease(state, settings, At(1000));
  CHECK(TakeLeaseOutcome(state, settings, renewal.transaction->nonce,
                         Conflict{}, At(1100))
            .read_rows);
  CHECK(TakeLeaseRows(state, settings, LeaseRow(9, "b", 2), EpochRow(9, 2),
                      At(1110), At(1120))
            .change == LeaseChange::kLost);
  CHECK_FALSE(FenceCondition(state, At(1120)));
}

// Guards against a graceful shutdown that leaves the cell without a controller
// for the rest of the lease.
TEST_CASE("a stopping holder releases the lease and takes it no more") {
  const LeaseSettings settings;
  LeaseState state = Holder(settings);
  StopLease(state);
  CHECK_FALSE(HoldsLease(state, At(20)));
  const auto step = StepLease(state, settings, At(20));
  REQUIRE(step.transaction);
  const auto record = DecodeLease(*step.transaction->writes[0].value);
  CHECK(record->holder.empty());
  CHECK_FALSE(IsReleased(state));
  (void)TakeLeaseOutcome(state, settings, step.transaction->nonce, Committed{6},
                         At(30));
  CHECK(IsReleased(state));
  CHECK_FALSE(StepLease(state, settings, At(9000)).transaction);

  LeaseState next = MakeState("b");
  (void)TakeLeaseRows(
      next, settings,
      Row{"lease", "controller", 6, *step.transaction->writes[0].value},
      EpochRow(5, 1), At(40), At(40));
  const auto takeover = StepLease(next, settings, At(40));
  REQUIRE(takeover.transaction);
  CHECK(takeover.transaction->writes[1].value == "2");
}

// Guards against a damaged lease row that blocks every takeover.
TEST_CASE("a malformed lease row is taken over after the duration") {
  const LeaseSettings settings;
  LeaseState state = MakeState("b");
  (void)TakeLeaseRows(state, settings, Row{"lease", "controller", 4, "{\"ho"},
                      Row{"lease", "controller_epoch", 4, "x"}, At(0), At(0));
  CHECK_FALSE(StepLease(state, settings, At(3000)).transaction);
  CHECK(StepLease(state, settings, At(3001)).transaction);
}

}  // namespace fireflythread
