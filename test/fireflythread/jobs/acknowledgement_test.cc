#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Returns the number up to which the next poll of w0 lets it forget
/// completions.
auto NextNumber(ShardFixture& shard) -> std::uint64_t {
  ShardWorker& worker = shard.Worker("w0");
  worker.poll_in_flight = false;
  worker.next_poll = shard.now;
  const auto poll = NextPoll(shard.state, worker, true, shard.now);
  REQUIRE(poll);
  return poll->last_seen;
}

/// Stores what has changed.
auto Store(ShardFixture& shard) -> void {
  REQUIRE(shard.PlanAndStore().empty());
  REQUIRE(shard.state.dirty.empty());
}

TEST_CASE("A completion is acknowledged until a poll with it is answered",
          "[jobs]") {
  // Guards against a task that runs again after it was done: a poll that is
  // carried out late by a new incarnation, which numbers its completions anew,
  // must not let it forget one that nobody has seen.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(2, 1000));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  shard.Report("w0", {ShardFixture::Running(starts[1])},
               {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  CHECK(NextNumber(shard) == 0);
  Store(shard);
  CHECK(NextNumber(shard) == 1);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  CHECK(NextNumber(shard) == 1);
  shard.Report("w0", {ShardFixture::Running(starts[1])});
  CHECK(NextNumber(shard) == 0);
  shard.Report("w0", {}, {ShardFixture::Ended(starts[1], 2, RunResult::kDone)});
  Store(shard);
  CHECK(NextNumber(shard) == 2);
}

TEST_CASE("No completion is acknowledged while a start waits for its answer",
          "[jobs]") {
  // Guards against the same by a poll that overtakes nothing: the start may
  // have reached a new incarnation, whose run has ended since.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.StartAll();
  shard.Report("w0", {},
               {ShardFixture::Ended(starts.at(0), 1, RunResult::kDone)});
  Store(shard);
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  const auto next = shard.PlanAndStore();
  REQUIRE(next.size() == 1);
  CHECK(NextNumber(shard) == 1);
  shard.Advance(milliseconds(150));
  CHECK(NextNumber(shard) == 0);
  shard.Accept(next[0]);
  CHECK(NextNumber(shard) == 1);
}

TEST_CASE("Many completions are acknowledged although starts wait", "[jobs]") {
  // Guards against a worker that must remember more completions than it lists,
  // because there is always a start on its way.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(100, 50));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 100);
  std::vector<RunCompletion> ended;
  for (const StartCommand& start : starts) {
    ended.push_back(
        ShardFixture::Ended(start, ended.size() + 1, RunResult::kDone));
  }
  shard.Report("w0", {}, ended);
  Store(shard);
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  REQUIRE(shard.PlanAndStore().size() == 1);
  shard.Advance(milliseconds(150));
  CHECK(NextNumber(shard) == 100);
}

}  // namespace
}  // namespace fireflythread::test
