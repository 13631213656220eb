#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// A shard whose only start was refused as old.
struct RefusedShard : ShardFixture {
  RefusedShard() : ShardFixture(2) {
    this->AddJob("a", Step(1, 1000));
    this->start = this->PlanAndStore().at(0);
    this->Advance(milliseconds(20));
    ApplyStartReply(this->state, this->start, {OrderVerdict::kOldRun},
                    this->now);
    this->Advance(milliseconds(20));
  }

  StartCommand start;
};

TEST_CASE("A start that is refused as old may have been carried out",
          "[jobs]") {
  // Guards against a second run of a task: a worker refuses a start as old also
  // when an earlier copy of that order was carried out and the run has ended.
  RefusedShard shard;
  CHECK(shard.PlanAndStore().empty());
  shard.Report(shard.start.worker.value, {},
               {ShardFixture::Ended(shard.start, 1, RunResult::kDone)});
  CHECK(shard.Task("a", 0).done);
  CHECK(shard.PlanAndStore().empty());
}

TEST_CASE("A task whose start was refused as old runs after all", "[jobs]") {
  // Guards against a task that waits for ever for a run that never was.
  RefusedShard shard;
  shard.Report(shard.start.worker.value);
  const auto stops = NextStops(shard.state, shard.now);
  REQUIRE(stops.size() == 1);
  SECTION("and its stop is confirmed") {
    ApplyStopReply(shard.state, stops[0], {OrderVerdict::kDone}, shard.now);
  }
  SECTION("and its stop is refused as old") {
    ApplyStopReply(shard.state, stops[0], {OrderVerdict::kOldRun}, shard.now);
  }
  shard.Advance(milliseconds(20));
  shard.Report(shard.start.worker.value);
  CHECK(shard.PlanAndStore().size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
