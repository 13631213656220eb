#include "fireflythread/jobs/given_up_run.h"

#include <catch2/catch.hpp>

#include "fireflythread/jobs/oldest_task.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

TEST_CASE("Each run that is given up is noted with its evidence", "[jobs]") {
  // Guards against a second run of a task without a line that says why the
  // first one was given up.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 1);
  const TimePoint ordered_at = shard.now;
  GiveUpEvidence expected;
  expected.as_of = ordered_at;
  SECTION("after a refused start") {
    shard.Advance(milliseconds(20));
    ApplyStartReply(shard.state, starts[0], {OrderVerdict::kNoCapacity},
                    shard.now);
    expected.reason = GiveUpReason::kRefused;
    expected.verdict = OrderVerdict::kNoCapacity;
  }
  SECTION("after a withheld start") {
    ApplyWithheldStart(shard.state, starts[0], shard.now);
    expected.reason = GiveUpReason::kWithheld;
    expected.verdict = OrderVerdict::kNotSent;
  }
  SECTION("after a report that does not list a confirmed run") {
    shard.Accept(starts[0]);
    shard.Advance(milliseconds(20));
    expected.reason = GiveUpReason::kConfirmedNotListed;
    expected.as_of = shard.now;
    shard.Report(starts[0].worker.value);
  }
  SECTION("after the lease of a lost worker") {
    shard.Accept(starts[0]);
    ApplyPollFailure(shard.state, starts[0].worker, shard.now);
    shard.Advance(milliseconds(20'000));
    ExpireWorkers(shard.state, shard.now);
    expected.reason = GiveUpReason::kLeaseExpired;
    expected.as_of = shard.Worker(starts[0].worker.value).reported_at;
  }
  REQUIRE(shard.state.given_up.size() == 1);
  const GivenUpRun& given_up = shard.state.given_up[0];
  CHECK(given_up.task == starts[0].task);
  CHECK(given_up.run == starts[0].run);
  CHECK(given_up.worker == starts[0].worker);
  CHECK(GiveUpReasonName(given_up.evidence.reason) ==
        GiveUpReasonName(expected.reason));
  CHECK(given_up.evidence.verdict == expected.verdict);
  CHECK(given_up.evidence_age == shard.now - expected.as_of);
}

TEST_CASE("The oldest task of each phase is known", "[jobs]") {
  // Guards against a task that is stuck in a phase and shows nowhere.
  ShardFixture shard(2);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto first = shard.PlanAndStore();
  shard.Advance(milliseconds(2000));
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  const auto second = shard.PlanAndStore();
  REQUIRE(second.size() == 1);
  shard.Advance(milliseconds(500));
  const auto oldest = FindOldestTasks(shard.state, shard.now);
  REQUIRE(oldest.size() == 1);
  CHECK(oldest.at(RunPhase::kStarting).task == first[0].task);
  CHECK(oldest.at(RunPhase::kStarting).in_phase == milliseconds(2500));
}

}  // namespace
}  // namespace fireflythread::test
