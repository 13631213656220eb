#include <catch2/catch.hpp>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/worker_lease.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// What a successor reads of a job of the former owner.
auto ReadBack(ShardFixture& former, const std::string& id) -> JobProgress {
  const ShardJob& job = former.state.jobs.at(JobId(id));
  auto progress = DecodeJobProgress(EncodeJobProgress(job.progress),
                                    TaskCount(job.request));
  REQUIRE(progress.has_value());
  return *progress;
}

auto TakeOver(ShardFixture& successor, ShardFixture& former) -> void {
  AddJob(successor.state, former.state.jobs.at(JobId("a")).request,
         ReadBack(former, "a"), former.version, successor.now);
}

TEST_CASE("A successor goes on with the runs that a worker lists", "[jobs]") {
  ShardFixture former(2);
  former.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former.StartAll();
  ShardFixture successor(2);
  TakeOver(successor, former);
  CHECK(successor.PlanAndStore().empty());
  successor.Report(starts[0].worker.value, {ShardFixture::Running(starts[0])});
  CHECK(successor.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("A successor runs again what a worker does not list", "[jobs]") {
  ShardFixture former(2);
  former.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former.PlanAndStore();
  ShardFixture successor(2);
  TakeOver(successor, former);
  successor.Report(starts[0].worker.value);
  const auto again = successor.PlanAndStore();
  REQUIRE(again.size() == 1);
  CHECK(again[0].run > starts[0].run);
}

TEST_CASE("A successor waits for the lease of a silent worker", "[jobs]") {
  // Guards against a second run beside one that a former owner, cut off from
  // the store, still extends.
  ShardFixture former(2);
  former.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former.StartAll();
  ShardFixture successor(0);
  TakeOver(successor, former);
  const auto& limits = successor.state.limits;
  // The former owner's last extension and the lease that it gave.
  const auto longest =
      limits.run_lease + limits.extend_without_store - limits.takeover_after;
  successor.Advance(longest);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker == starts[0].worker);
  successor.Advance(milliseconds(1000));
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker.empty());
}

TEST_CASE("A handed over shard tells which workers are silent", "[jobs]") {
  // Guards against a lease that is waited for anew at each change of owner,
  // so that a lost worker's tasks do not run while entries restart in turn.
  ShardFixture former(2);
  former.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former.StartAll();
  ApplyPollFailure(former.state, starts[0].worker, former.now);
  CHECK(SilentWorkers(former.state, former.now).size() == 1);
  former.Advance(milliseconds(4000));
  const auto silent = SilentWorkers(former.state, former.now);
  REQUIRE(silent.size() == 1);
  const milliseconds left = silent.at(starts[0].worker);
  CHECK(left > milliseconds(1500));
  CHECK(left < milliseconds(3500));

  ShardFixture successor(0);
  successor.state.silent_until[starts[0].worker] = successor.now + left;
  TakeOver(successor, former);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker == starts[0].worker);
  successor.Advance(milliseconds(1000));
  const auto again = SilentWorkers(successor.state, successor.now);
  CHECK(again.at(starts[0].worker) == left - milliseconds(1000));
  successor.Advance(left);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker.empty());
}

TEST_CASE("A done task stays done after a takeover", "[jobs]") {
  ShardFixture former(1);
  former.AddJob("a", ShardFixture::Step(2, 1000));
  const auto starts = former.StartAll();
  former.Report("w0", {ShardFixture::Running(starts[1])},
                {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  ShardFixture successor(1);
  TakeOver(successor, former);
  CHECK(successor.Task("a", 0).done);
  successor.Report("w0", {},
                   {ShardFixture::Ended(starts[1], 2, RunResult::kDone)});
  CHECK(successor.state.jobs.at(JobId("a")).progress.state ==
        JobState::kCompleted);
}

TEST_CASE("A successor stops what is left of a cancelled job", "[jobs]") {
  // Guards against runs that go on after the owner died between storing the
  // cancellation and stopping them.
  ShardFixture former(1);
  former.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former.StartAll();
  CancelJob(former.state, JobId("a"), former.now);
  ShardFixture successor(1);
  TakeOver(successor, former);
  const auto stops = NextStops(successor.state, successor.now);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == starts[0].run);
}

}  // namespace
}  // namespace fireflythread::test
