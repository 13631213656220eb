#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Applies that the worker's present incarnation has accepted a start.
auto AcceptWithClock(ShardFixture& shard, const StartCommand& start) -> void {
  OrderReply reply{OrderVerdict::kDone};
  reply.clock = shard.ClockOf(start.worker.value);
  ApplyStartReply(shard.state, start, reply, shard.now);
}

TEST_CASE("A run that a restarted worker lists is not started again",
          "[jobs]") {
  // Guards against two runs of a task: the new incarnation has accepted the
  // first one before the owner learned of the restart.
  ShardFixture shard(2);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 1);
  const std::string worker = starts[0].worker.value;
  shard.Restart(worker);
  shard.Advance(milliseconds(500));
  SECTION("and its start was answered") {
    AcceptWithClock(shard, starts[0]);
  }
  SECTION("and its start was answered without a clock") {
    shard.Accept(starts[0]);
  }
  SECTION("and its start got no answer") {
    ApplyStartReply(shard.state, starts[0], {OrderVerdict::kUnknown},
                    shard.now);
  }
  SECTION("and the restart is known from the registration") {
    shard.Accept(starts[0]);
    ApplyWorkers(shard.state, shard.views, shard.now);
    CHECK(shard.PlanAndStore().empty());
  }
  shard.Advance(milliseconds(10));
  shard.Report(worker, {ShardFixture::Running(starts[0])});
  CHECK(shard.PlanAndStore().empty());
  CHECK(NextStops(shard.state, shard.now).empty());
  CHECK(shard.Task("a", 0).run == starts[0].run);
  CHECK(shard.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("A run that was confirmed while a restarted worker reported goes on",
          "[jobs]") {
  // Guards against a report that was written before the run began.
  ShardFixture shard(2);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 1);
  const std::string worker = starts[0].worker.value;
  shard.Restart(worker);
  shard.Advance(milliseconds(500));
  const TimePoint polled_at = shard.now;
  shard.Advance(milliseconds(1));
  shard.Accept(starts[0]);
  shard.ReportSince(polled_at, worker);
  CHECK(shard.PlanAndStore().empty());
  CHECK(shard.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("An earlier run beside a task's newest one does not hide it",
          "[jobs]") {
  // Guards against a third run of a task: the worker lists both runs, and the
  // newest one counts as missing.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  REQUIRE(shard.StartAll().size() == 1);
  shard.Report("w0");
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].run == 2);
  RunningRun earlier = ShardFixture::Running(starts[0]);
  earlier.run = 1;
  shard.Report("w0", {earlier, ShardFixture::Running(starts[0])});
  CHECK(shard.PlanAndStore().empty());
  CHECK(shard.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("Completions of a restarted worker are kept until they are applied",
          "[jobs]") {
  // Guards against a task that runs again after it was done: a poll with the
  // number of a completion of the former incarnation makes the new one forget
  // its own completions, which are numbered from 1 again.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(2, 1000));
  const auto first = shard.StartAll();
  REQUIRE(first.size() == 2);
  shard.Report("w0", {},
               {ShardFixture::Ended(first[0], 1, RunResult::kDone),
                ShardFixture::Ended(first[1], 2, RunResult::kDone)});
  CHECK(shard.PlanAndStore().empty());
  REQUIRE(shard.Worker("w0").last_stored_completion == 2);

  shard.Restart("w0");
  shard.Advance(milliseconds(500));
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  const auto second = shard.PlanAndStore();
  REQUIRE(second.size() == 1);
  SECTION("the start was answered") {
    AcceptWithClock(shard, second[0]);
  }
  SECTION("the start got no answer") {
    ApplyStartReply(shard.state, second[0], {OrderVerdict::kUnknown},
                    shard.now);
  }
  shard.Advance(shard.state.limits.poll_spacing);
  const auto poll = NextPoll(shard.state, shard.Worker("w0"), true, shard.now);
  REQUIRE(poll);
  CHECK(poll->last_seen == 0);
}

TEST_CASE("A late report of a former incarnation changes nothing", "[jobs]") {
  // Guards against completion numbers of the former incarnation that are taken
  // for those of the new one.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(2, 1000));
  const auto first = shard.StartAll();
  REQUIRE(first.size() == 2);
  const TimePoint polled_at = shard.now;
  WorkerReport late;
  late.clock = shard.ClockOf("w0");
  late.started_at = shard.views[0].started_at;
  late.running = {ShardFixture::Running(first[1])};
  late.ended = {ShardFixture::Ended(first[0], 1, RunResult::kDone)};

  shard.Restart("w0");
  shard.Advance(milliseconds(500));
  ApplyWorkers(shard.state, shard.views, shard.now);
  ApplyReport(shard.state, WorkerId("w0"), late, polled_at, shard.now);
  const auto poll = NextPoll(shard.state, shard.Worker("w0"), true, shard.now);
  REQUIRE(poll);
  CHECK(poll->last_seen == 0);
  shard.Report("w0");
  // Both runs ended with the former incarnation.
  CHECK(shard.PlanAndStore().size() == 2);
}

TEST_CASE("Another instance at a worker's former address gives up no run",
          "[jobs]") {
  // Guards against two runs of a task: the worker has moved to another address,
  // runs the task there, and an earlier call to the former address is answered
  // by the instance that listens there now.
  ShardFixture shard(2);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 2);
  REQUIRE(starts[0].worker == starts[1].worker);
  const std::string worker = starts[0].worker.value;
  shard.Accept(starts[0]);
  const std::string former_address = starts[0].address;
  shard.views[static_cast<std::size_t>(worker.back() - '0')].address =
      "10.0.1.0:80";
  ApplyWorkers(shard.state, shard.views, shard.now);
  SECTION("a start") {
    ApplyStartReply(shard.state, starts[1], {OrderVerdict::kOtherInstance},
                    shard.now);
    // This start had no effect, so the task may run elsewhere.
    CHECK(shard.Task("b", 0).worker.empty());
  }
  SECTION("a stop") {
    BeginStop(shard.state, starts[1].task, shard.now);
    StopCommand stop = NextStops(shard.state, shard.now).at(0);
    stop.address = former_address;
    ApplyStopReply(shard.state, stop, {OrderVerdict::kOtherInstance},
                   shard.now);
    CHECK(shard.Task("b", 0).phase == RunPhase::kStopping);
  }
  SECTION("a poll") {
    PollCommand poll;
    poll.worker = starts[0].worker;
    poll.address = former_address;
    ApplyMissingReport(shard.state, poll, OrderVerdict::kOtherInstance,
                       shard.now);
  }
  CHECK(shard.Task("a", 0).worker == starts[0].worker);
  CHECK(shard.Task("a", 0).phase == RunPhase::kRunning);
}

TEST_CASE("A restarted worker that gives no report keeps its runs for a lease",
          "[jobs]") {
  // Guards against a start elsewhere while the new incarnation may run the
  // task: its lease came from a deadline on the former incarnation's clock.
  ShardFixture shard(2);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 1);
  const WorkerId worker = starts[0].worker;
  shard.Restart(worker.value);
  shard.Advance(milliseconds(500));
  ApplyStartReply(shard.state, starts[0], {OrderVerdict::kUnknown}, shard.now);
  ApplyWorkers(shard.state, shard.views, shard.now);
  const TimePoint noticed_at = shard.now;
  const milliseconds limit = 2 * shard.state.limits.max_run_lease;
  while (shard.Task("a", 0).worker == worker &&
         shard.now - noticed_at < limit) {
    if (NextPoll(shard.state, shard.Worker(worker.value), true, shard.now)) {
      ApplyPollFailure(shard.state, worker, shard.now);
    }
    shard.Advance(milliseconds(250));
    ExpireWorkers(shard.state, shard.now);
  }
  CHECK(shard.now - noticed_at >= shard.state.limits.max_run_lease);
  CHECK(shard.now - noticed_at < limit);
  CHECK(shard.PlanAndStore().size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
