#include <catch2/catch.hpp>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/unresponsive_workers.h"
#include "fireflythread/jobs/worker_lease.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Returns the progress that a successor reads of a job of the former owner.
auto ReadBack(ShardFixture& former_owner, const std::string& id)
    -> JobProgress {
  const ShardJob& job = former_owner.state.jobs.at(JobId(id));
  auto progress = DecodeJobProgress(EncodeJobProgress(job.progress),
                                    TaskCount(job.request));
  REQUIRE(progress.has_value());
  return *progress;
}

auto TakeOver(ShardFixture& successor, ShardFixture& former_owner) -> void {
  AddJob(successor.state, former_owner.state.jobs.at(JobId("a")).request,
         ReadBack(former_owner, "a"), former_owner.version, successor.now);
}

TEST_CASE("A successor continues the runs that a worker lists", "[jobs]") {
  ShardFixture former_owner(2);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  ShardFixture successor(2);
  TakeOver(successor, former_owner);
  CHECK(successor.PlanAndStore().empty());
  successor.Report(starts[0].worker.value, {ShardFixture::Running(starts[0])});
  CHECK(successor.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("A successor restarts runs that a worker does not list", "[jobs]") {
  ShardFixture former_owner(2);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.PlanAndStore();
  ShardFixture successor(2);
  TakeOver(successor, former_owner);
  successor.Report(starts[0].worker.value);
  const auto again = successor.PlanAndStore();
  REQUIRE(again.size() == 1);
  CHECK(again[0].run > starts[0].run);
}

TEST_CASE("A successor waits for the lease of an unresponsive worker",
          "[jobs]") {
  // Guards against a second run beside one whose lease a former owner, cut off
  // from the store, still extends.
  ShardFixture former_owner(2);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  ShardFixture successor(0);
  TakeOver(successor, former_owner);
  const auto& limits = successor.state.limits;
  // The former owner's last extension and the lease that it gave.
  const auto max_duration =
      limits.run_lease + limits.extend_without_store - limits.takeover_after;
  successor.Advance(max_duration);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker == starts[0].worker);
  successor.Advance(milliseconds(1000));
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker.empty());
}

TEST_CASE("A handover lists the unresponsive workers", "[jobs]") {
  // Guards against waiting for the full lease again at each change of owner, so
  // that a lost worker's tasks do not run while entries restart one after the
  // other.
  ShardFixture former_owner(2);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  ApplyPollFailure(former_owner.state, starts[0].worker, former_owner.now);
  CHECK(UnresponsiveWorkers(former_owner.state, former_owner.now).size() == 1);
  former_owner.Advance(milliseconds(4000));
  const auto unresponsive =
      UnresponsiveWorkers(former_owner.state, former_owner.now);
  REQUIRE(unresponsive.size() == 1);
  const milliseconds left = unresponsive.at(starts[0].worker);
  CHECK(left > milliseconds(1500));
  CHECK(left < milliseconds(3500));

  ShardFixture successor(0);
  successor.state.unresponsive_until[starts[0].worker] = successor.now + left;
  TakeOver(successor, former_owner);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker == starts[0].worker);
  successor.Advance(milliseconds(1000));
  const auto again = UnresponsiveWorkers(successor.state, successor.now);
  CHECK(again.at(starts[0].worker) == left - milliseconds(1000));
  successor.Advance(left);
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker.empty());
}

TEST_CASE("A successor does not hold runs that were released", "[jobs]") {
  // Guards against a lost worker's task that waits for the longest lease again,
  // because the owner had released the run, but not started another one yet.
  ShardFixture former_owner(1);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  const WorkerId lost = starts[0].worker;
  ApplyPollFailure(former_owner.state, lost, former_owner.now);
  former_owner.Advance(std::chrono::seconds(10));
  ExpireWorkers(former_owner.state, former_owner.now);
  REQUIRE(former_owner.Task("a", 0).worker.empty());

  SECTION("and the release is stored") {
    CHECK(former_owner.state.dirty.contains(JobId("a")));
    CHECK(ReadBack(former_owner, "a").tasks[0].worker.empty());
  }
  SECTION("and the next owner is told until it is stored") {
    CHECK(UnresponsiveWorkers(former_owner.state, former_owner.now) ==
          std::map<WorkerId, milliseconds>{{lost, milliseconds(0)}});
  }
  SECTION("unless the worker reports again") {
    former_owner.Report(lost.value);
    CHECK(UnresponsiveWorkers(former_owner.state, former_owner.now).empty());
  }
}

TEST_CASE("A former owner's end shortens the wait for unresponsive workers",
          "[jobs]") {
  // Guards against runs of lost workers that are held for the longest lease of
  // an owner that is known to be gone.
  ShardFixture former_owner(2);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  ShardFixture successor(0);
  successor.state.owned_since = successor.now;
  TakeOver(successor, former_owner);
  successor.Advance(milliseconds(1000));
  SECTION("if it names the worker") {
    ApplyFormerOwnerEnd(successor.state,
                        {{starts[0].worker, milliseconds(500)}}, successor.now);
    successor.Advance(milliseconds(499));
    ExpireWorkers(successor.state, successor.now);
    CHECK(successor.Task("a", 0).worker == starts[0].worker);
    successor.Advance(milliseconds(1));
  }
  SECTION("if it does not name the worker") {
    ApplyFormerOwnerEnd(successor.state, {}, successor.now);
    successor.Advance(successor.state.limits.run_lease);
    ExpireWorkers(successor.state, successor.now);
    CHECK(successor.Task("a", 0).worker == starts[0].worker);
    successor.Advance(milliseconds(600));
  }
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker.empty());
}

TEST_CASE("A former owner's last word replaces its older row", "[jobs]") {
  // Guards against a second run beside that of a restarted worker: the former
  // owner noticed the restart after it had stored the row.
  ShardFixture former_owner(1);
  former_owner.state.fence = 50;
  ApplyUnresponsiveRow(former_owner.state, {}, 0, 0);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const WorkerId worker = former_owner.StartAll().at(0).worker;
  ApplyPollFailure(former_owner.state, worker, former_owner.now);
  const auto row = NextUnresponsiveRow(former_owner.state, former_owner.now);
  REQUIRE(row);
  former_owner.Restart(worker.value);
  ApplyWorkers(former_owner.state, former_owner.views, former_owner.now);
  const auto announced =
      UnresponsiveWorkers(former_owner.state, former_owner.now);
  REQUIRE(announced.at(worker) > row->workers.at(worker));

  ShardFixture successor(0);
  successor.state.owned_since = successor.now;
  TakeOver(successor, former_owner);
  ApplyUnresponsiveRow(successor.state, *row, 7, 50);
  ApplyFormerOwnerEnd(successor.state, announced, successor.now);
  successor.Advance(announced.at(worker) - milliseconds(1));
  ExpireWorkers(successor.state, successor.now);
  CHECK(successor.Task("a", 0).worker == worker);
}

TEST_CASE("A done task stays done after a takeover", "[jobs]") {
  ShardFixture former_owner(1);
  former_owner.AddJob("a", ShardFixture::Step(2, 1000));
  const auto starts = former_owner.StartAll();
  former_owner.Report("w0", {ShardFixture::Running(starts[1])},
                      {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  ShardFixture successor(1);
  TakeOver(successor, former_owner);
  CHECK(successor.Task("a", 0).done);
  successor.Report("w0", {},
                   {ShardFixture::Ended(starts[1], 2, RunResult::kDone)});
  CHECK(successor.state.jobs.at(JobId("a")).progress.state ==
        JobState::kCompleted);
}

TEST_CASE("A successor stops the remaining runs of a cancelled job", "[jobs]") {
  // Guards against runs that continue after the owner failed between storing
  // the cancellation and stopping them.
  ShardFixture former_owner(1);
  former_owner.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = former_owner.StartAll();
  CancelJob(former_owner.state, JobId("a"), former_owner.now);
  ShardFixture successor(1);
  TakeOver(successor, former_owner);
  const auto stops = NextStops(successor.state, successor.now);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == starts[0].run);
}

}  // namespace
}  // namespace fireflythread::test
