#include "fireflythread/jobs/vacate.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// A lasting step of one task a worker, of which one may be away.
auto LastingStep(int count) -> JobStep {
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

TEST_CASE("One lasting task at a time leaves a worker", "[jobs]") {
  // Guards against a wave that takes more of a step than its budget.
  ShardFixture shard(4);
  shard.AddJob("a", LastingStep(2));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  ReportAllRunning(shard, starts);
  SetVacating(shard.state, {starts[0].worker, starts[1].worker});
  EvictLasting(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).size() == 1);
  EvictLasting(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("A task on a silent worker counts as away", "[jobs]") {
  // Guards against an eviction beside a task whose worker fell silent and was
  // last heard of when the task was at work.
  ShardFixture shard(4);
  shard.AddJob("a", LastingStep(2));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  ReportAllRunning(shard, starts);
  SetVacating(shard.state, {starts[0].worker});
  SECTION("its last look failed") {
    TakeLookFailure(shard.state, starts[1].worker, shard.now);
  }
  SECTION("its last report is old") {
    shard.Advance(milliseconds(3000));
    shard.Report(starts[0].worker.value, {ShardFixture::Running(starts[0])});
  }
  EvictLasting(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("A lasting task stays when there is no room elsewhere", "[jobs]") {
  ShardFixture shard(1);
  shard.AddJob("a", LastingStep(1));
  const auto starts = shard.StartAll();
  ReportAllRunning(shard, starts);
  SetVacating(shard.state, {starts[0].worker});
  EvictLasting(shard.state, shard.now);
  CHECK(NextStops(shard.state, shard.now).empty());
}

TEST_CASE("A worker is vacated once it runs nothing", "[jobs]") {
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.StartAll();
  SetVacating(shard.state, {WorkerId("w0")});
  CHECK(VacatedWorkers(shard.state).empty());
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  CHECK(shard.PlanAndStore().empty());
  shard.Report("w0", {}, {ShardFixture::Ended(starts[0], 1, RunEnd::kDone)});
  CHECK(VacatedWorkers(shard.state).size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
