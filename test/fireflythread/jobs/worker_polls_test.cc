#include <catch2/catch.hpp>

#include "fireflythread/jobs/drain.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Polls worker w0 for some time, with each poll refused, and returns the
/// number of polls.
auto CountRefusedPolls(ShardFixture& shard, milliseconds time) -> int {
  constexpr milliseconds kStep{10};
  const WorkerId worker("w0");
  int polls = 0;
  for (milliseconds passed{0}; passed < time; passed += kStep) {
    if (NextPoll(shard.state, shard.Worker("w0"), true, shard.now)) {
      ApplyPollRefusal(shard.state, worker, shard.now);
      ++polls;
    }
    shard.Advance(kStep);
  }
  return polls;
}

TEST_CASE("A drained worker is not polled", "[jobs]") {
  // Guards against calls to the address of a VM that has moved away: its worker
  // stays registered for 4.5 s.
  ShardFixture shard(1);
  SetDraining(shard.state, {WorkerId("w0")});
  CHECK(CountRefusedPolls(shard, milliseconds(4500)) == 0);
  // The VM stays after all: a poll tells whether the worker is there.
  SetDraining(shard.state, {});
  CHECK(NextPoll(shard.state, shard.Worker("w0"), true, shard.now).has_value());
}

TEST_CASE("A worker with runs is polled while it is being drained", "[jobs]") {
  // Guards against a lease that expires, or a completion that is missed,
  // because the worker is being drained.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  REQUIRE(shard.StartAll().size() == 1);
  SetDraining(shard.state, {WorkerId("w0")});
  SECTION("and it is listed") {}
  SECTION("and it is not listed any more") {
    ApplyWorkers(shard.state, {}, shard.now);
  }
  CHECK(CountRefusedPolls(shard, milliseconds(1000)) == 4);
}

TEST_CASE("Refused polls of a worker without runs become less frequent",
          "[jobs]") {
  // Guards against four calls a second to each VM that left without notice.
  ShardFixture shard(1);
  shard.Advance(shard.state.limits.idle_poll);
  // Polls after 0, 250, 750 and 1,750 ms, then every 2 s.
  CHECK(CountRefusedPolls(shard, milliseconds(9000)) == 7);
}

TEST_CASE("A worker that comes back is polled at once", "[jobs]") {
  // Guards against a delay that grew while the worker's VM was down and keeps
  // the restarted worker from getting work.
  ShardFixture shard(1);
  shard.Advance(shard.state.limits.idle_poll);
  REQUIRE(CountRefusedPolls(shard, milliseconds(2000)) == 4);
  REQUIRE_FALSE(NextPoll(shard.state, shard.Worker("w0"), true, shard.now));
  SECTION("in a new incarnation") {
    shard.views[0].started_at += milliseconds(1);
  }
  SECTION("at another address") {
    shard.views[0].address = "10.0.1.0:80";
  }
  ApplyWorkers(shard.state, shard.views, shard.now);
  CHECK(NextPoll(shard.state, shard.Worker("w0"), true, shard.now).has_value());
}

TEST_CASE("Completions of a short time share a poll while nothing waits",
          "[jobs]") {
  // Guards against a poll for each completion in a peak of short tasks, when
  // all of them have room.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(3, 1000));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 3);
  const auto poll_at = [&shard](milliseconds later) {
    return NextPoll(shard.state, shard.Worker("w0"), true, shard.now + later);
  };
  // The starts that follow one another share the first poll.
  CHECK_FALSE(poll_at(milliseconds(0)));
  REQUIRE(poll_at(shard.state.limits.poll_spacing));
  shard.Report(
      "w0",
      {ShardFixture::Running(starts[1]), ShardFixture::Running(starts[2])},
      {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  CHECK_FALSE(poll_at(shard.state.limits.poll_spacing - milliseconds(1)));
  CHECK(poll_at(shard.state.limits.poll_spacing));
}

TEST_CASE("A completion is learned at once while tasks wait for capacity",
          "[jobs]") {
  // Guards against capacity that stays free in an overload.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(9, 1000));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 8);
  std::vector<RunningRun> running;
  for (std::size_t number = 1; number < starts.size(); ++number) {
    running.push_back(ShardFixture::Running(starts[number]));
  }
  shard.Report("w0", running,
               {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  CHECK(NextPoll(shard.state, shard.Worker("w0"), true, shard.now).has_value());
}

TEST_CASE("A poll without an answer is soon repeated", "[jobs]") {
  // Guards against a delay that grows during a network partition, so that idle
  // workers stay unusable for seconds after it has ended.
  ShardFixture shard(1);
  shard.Advance(shard.state.limits.idle_poll);
  for (int poll = 0; poll < 10; ++poll) {
    REQUIRE(
        NextPoll(shard.state, shard.Worker("w0"), true, shard.now).has_value());
    ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
    shard.Advance(shard.state.limits.poll_retry);
  }
}

}  // namespace
}  // namespace fireflythread::test
