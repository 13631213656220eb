#include "fireflythread/jobs/drain.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Returns a long-running step with at most one task per worker and a
/// disruption budget of one task.
auto LongRunningStep(int count) -> JobStep {
  JobStep step = ShardFixture::Step(count, 1000);
  step.long_running = true;
  step.max_per_worker = 1;
  step.has_disruption_budget = true;
  step.disruption_budget = 1;
  return step;
}

auto ReportAllRunning(ShardFixture& shard,
                      const std::vector<StartCommand>& starts) -> void {
  for (const StartCommand& start : starts) {
    shard.Report(start.worker.value, {ShardFixture::Running(start)});
  }
}

TEST_CASE("Long-running tasks leave their workers one at a time", "[jobs]") {
  // Guards against a wave that makes more tasks of a step unavailable than its
  // budget.
  ShardFixture shard(4);
  shard.AddJob("a", LongRunningStep(2));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  ReportAllRunning(shard, starts);
  SetDraining(shard.state, {starts[0].worker, starts[1].worker});
  EvictLongRunning(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).size() == 1);
  EvictLongRunning(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("A task on an unresponsive worker counts as unavailable", "[jobs]") {
  // Guards against an eviction while another task of the step is on a worker
  // that became unresponsive and last reported the task as ready.
  ShardFixture shard(4);
  shard.AddJob("a", LongRunningStep(2));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  ReportAllRunning(shard, starts);
  SetDraining(shard.state, {starts[0].worker});
  SECTION("its last poll failed") {
    ApplyPollFailure(shard.state, starts[1].worker, shard.now);
  }
  SECTION("its last report is old") {
    shard.Advance(milliseconds(3000));
    shard.Report(starts[0].worker.value, {ShardFixture::Running(starts[0])});
  }
  EvictLongRunning(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("A long-running task stays when there is no capacity elsewhere",
          "[jobs]") {
  ShardFixture shard(1);
  shard.AddJob("a", LongRunningStep(1));
  const auto starts = shard.StartAll();
  ReportAllRunning(shard, starts);
  SetDraining(shard.state, {starts[0].worker});
  EvictLongRunning(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("Short tasks leave capacity for a long-running task that has to move",
          "[jobs]") {
  // A peak during a wave. Guards against short tasks that use all capacity that
  // becomes free, so that the long-running task never leaves.
  ShardFixture shard(2);
  JobStep step = LongRunningStep(1);
  step.size.millicores = 4000;
  shard.AddJob("lasting", step);
  const auto long_running_starts = shard.StartAll();
  REQUIRE(long_running_starts.size() == 1);
  ReportAllRunning(shard, long_running_starts);
  shard.AddJob("short", ShardFixture::Step(12, 1000));
  std::vector<StartCommand> others = shard.StartAll();
  REQUIRE(others.size() == 12);
  const WorkerId from = long_running_starts[0].worker;
  std::erase_if(others, [&](const auto& run) { return run.worker == from; });
  REQUIRE(others.size() == 8);
  shard.AddJob("more", ShardFixture::Step(15, 1000));
  SetDraining(shard.state, {from});

  const WorkerId to = others[0].worker;
  std::uint64_t number = 0;
  while (number < 4) {
    EvictLongRunning(shard.state, shard.now);
    CHECK(NextStops(shard.state, shard.now).empty());
    CHECK(shard.PlanAndStore().empty());
    const StartCommand done = others.back();
    others.pop_back();
    std::vector<RunningRun> left;
    for (const StartCommand& run : others) {
      left.push_back(ShardFixture::Running(run));
    }
    shard.Report(to.value, left,
                 {ShardFixture::Ended(done, ++number, RunResult::kDone)});
  }
  EvictLongRunning(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).size() == 1);
  CHECK(shard.PlanAndStore().empty());
}

TEST_CASE("A worker is drained once it runs nothing", "[jobs]") {
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.StartAll();
  SetDraining(shard.state, {WorkerId("w0")});
  CHECK(DrainedWorkers(shard.state).empty());
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  CHECK(shard.PlanAndStore().empty());
  shard.Report("w0", {}, {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  CHECK(DrainedWorkers(shard.state).size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
