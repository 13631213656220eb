#include "fireflythread/jobs/filler_paces.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

#include "test/fireflythread/interference/interference_fixture.h"

namespace fireflythread::test {
namespace {

/// A worker with a serving task "a", a filler "b" and a finite task "c".
class PacedShard : public ShardFixture {
 public:
  PacedShard() : ShardFixture(1) {
    this->AddJob("a", ServingStep("serving"));
    this->AddJob("b", FillerStep("guilty"));
    this->AddJob("c", ShardFixture::Step(1, 1000));
    this->starts = this->StartAll();
    this->ReportTail(50);
  }

  /// Reports all runs, with this tail latency of the serving task.
  auto ReportTail(std::int64_t milliseconds_of_tail) -> void {
    std::vector<RunningRun> running;
    for (const StartCommand& start : this->starts) {
      RunningRun run = Running(start);
      run.usage = start.task.job == JobId("a") ? milliseconds_of_tail : 500;
      running.push_back(run);
    }
    this->Report("w0", running);
  }

  /// Returns the orders after 500 ms.
  auto Next() -> std::vector<PaceCommand> {
    this->Advance(milliseconds(500));
    return NextPaces(this->state, this->now).commands;
  }

  auto Reply(const PaceCommand& pace, OrderVerdict verdict) -> void {
    ApplyPaceReply(this->state, pace, {verdict}, this->now);
  }

  std::vector<StartCommand> starts;
};

TEST_CASE("Only fillers are paced", "[interference][pace]") {
  // Load: a serving task over its target beside a filler and a finite task.
  PacedShard shard;
  CHECK(shard.Next().empty());
  shard.ReportTail(150);
  const std::vector<PaceCommand> orders = shard.Next();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task.job == JobId("b"));
  CHECK(orders[0].run == 1);
  CHECK(orders[0].percent == 40);
  CHECK(orders[0].fence == OrderFence(shard.state));
  CHECK(orders[0].worker == WorkerId("w0"));
  // One order at a time for each filler, or a late one could win.
  shard.ReportTail(150);
  CHECK(shard.Next().empty());
  shard.Reply(orders[0], OrderVerdict::kDone);
  CHECK(shard.Task("b", 0).speed_percent == 40);
  shard.ReportTail(150);
  CHECK(shard.Next().size() == 1);
}

TEST_CASE("An order without an answer is repeated", "[interference][pace]") {
  // Guards against a filler whose speed differs from what the owner believes.
  PacedShard shard;
  shard.ReportTail(150);
  const std::vector<PaceCommand> first = shard.Next();
  REQUIRE(first.size() == 1);
  const OrderVerdict verdict = GENERATE(
      OrderVerdict::kUnknown, OrderVerdict::kNotSent, OrderVerdict::kUnhealthy);
  shard.Reply(first[0], verdict);
  shard.ReportTail(90);
  const std::vector<PaceCommand> again = shard.Next();
  REQUIRE(again.size() == 1);
  CHECK(again[0].percent == 40);
}

TEST_CASE("An order without an answer is repeated at the old speed too",
          "[interference][pace]") {
  // Guards against a filler that was lowered by an unanswered order and is
  // believed to run at full speed after the serving task has ended.
  PacedShard shard;
  shard.ReportTail(150);
  const std::vector<PaceCommand> first = shard.Next();
  REQUIRE(first.size() == 1);
  shard.Reply(first[0], OrderVerdict::kUnknown);
  ReleaseTask(shard.state, TaskName{JobId("a"), 0, 0, 0}, shard.now);
  const std::vector<PaceCommand> again = shard.Next();
  REQUIRE(again.size() == 1);
  CHECK(again[0].percent == 100);
  shard.Reply(again[0], OrderVerdict::kDone);
  CHECK(shard.Next().empty());
}

TEST_CASE("A worker that does not know the order is asked rarely",
          "[interference][pace]") {
  // Load: a worker of an earlier version answers each order with 404.
  PacedShard shard;
  int orders = 0;
  for (int round = 0; round < 20; ++round) {
    shard.ReportTail(150);
    for (const PaceCommand& pace : shard.Next()) {
      ++orders;
      shard.Reply(pace, OrderVerdict::kInvalid);
    }
  }
  CHECK(orders <= 3);
}

TEST_CASE("A new owner sets the speed of fillers again",
          "[interference][pace]") {
  // Load: a takeover while the serving task is calm. Guards against a filler
  // that stands still for good because its former owner has stopped it.
  PacedShard shard;
  shard.Task("b", 0).inherited = true;
  shard.Task("b", 0).speed_known = false;
  shard.Worker("w0").paces_settled = false;
  const std::vector<PaceCommand> orders = shard.Next();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].percent == 100);
  shard.Reply(orders[0], OrderVerdict::kDone);
  CHECK(shard.Next().empty());
}

TEST_CASE("An order without an answer is repeated until it is over",
          "[interference][pace]") {
  // Load: the order to stand still gets no answer and is carried out 4 s later,
  // after the repetition. Guards against a filler that stands still for good.
  PacedShard shard;
  shard.ReportTail(150);
  const std::vector<PaceCommand> first = shard.Next();
  REQUIRE(first.size() == 1);
  shard.Reply(first[0], OrderVerdict::kUnknown);
  ReleaseTask(shard.state, TaskName{JobId("a"), 0, 0, 0}, shard.now);
  int orders = 0;
  TimePoint last_order;
  const TimePoint began = shard.now;
  while (shard.now - began < std::chrono::seconds(12)) {
    for (const PaceCommand& pace : shard.Next()) {
      ++orders;
      last_order = shard.now;
      shard.Reply(pace, OrderVerdict::kDone);
    }
    shard.Advance(milliseconds(100));
  }
  CHECK(last_order - began >= shard.state.limits.late_order);
  CHECK(orders <= 8);
}

TEST_CASE("A takeover makes the speed of fillers unknown",
          "[interference][pace]") {
  // Guards against a new owner that takes a filler for running at full speed
  // that its former owner has stopped.
  PacedShard former;
  const ShardJob& job = former.state.jobs.at(JobId("b"));
  ShardState next;
  AddJob(next, job.request, job.progress, 1, former.now);
  CHECK_FALSE(FindTask(next, TaskName{JobId("b"), 0, 0, 0})->speed_known);
}

TEST_CASE("A task's former figure does not count on another worker",
          "[interference][pace]") {
  // Guards against fillers that are slowed because of what a serving task
  // suffered elsewhere.
  PacedShard shard;
  shard.ReportTail(150);
  ReleaseTask(shard.state, TaskName{JobId("a"), 0, 0, 0}, shard.now);
  AssignTask(shard.state, TaskName{JobId("a"), 0, 0, 0}, WorkerId("w0"),
             RunPhase::kRunning, shard.now);
  CHECK(shard.Task("a", 0).usage == 0);
}

TEST_CASE("A newer owner's fence ends the pacing", "[interference][pace]") {
  PacedShard shard;
  shard.ReportTail(150);
  std::vector<PaceCommand> orders = shard.Next();
  REQUIRE(orders.size() == 1);
  REQUIRE(IsFencedOff(shard.state, orders[0].fence));
  shard.Reply(orders[0], OrderVerdict::kFenced);
  CHECK(shard.state.fenced_off);
}

TEST_CASE("Without fillers no order is sent and polls are as long as before",
          "[interference][pace]") {
  ShardFixture shard(1);
  shard.AddJob("a", ServingStep("serving"));
  const std::vector<StartCommand> starts = shard.StartAll();
  RunningRun run = ShardFixture::Running(starts.at(0));
  run.usage = 500;
  shard.Report("w0", {run});
  shard.Advance(milliseconds(500));
  CHECK(NextPaces(shard.state, shard.now).commands.empty());
  const auto poll = NextPoll(shard.state, shard.Worker("w0"), true, shard.now);
  REQUIRE(poll);
  CHECK(poll->wait == shard.state.limits.poll_wait);
}

TEST_CASE("A worker with fillers beside serving tasks reports often",
          "[interference][pace]") {
  // Guards against a lowering that comes too late because no report tells of
  // the tail latency.
  PacedShard shard;
  shard.Advance(milliseconds(10));
  const auto poll = NextPoll(shard.state, shard.Worker("w0"), true, shard.now);
  REQUIRE(poll);
  CHECK(poll->wait == shard.state.limits.paced_poll_wait);
}

}  // namespace
}  // namespace fireflythread::test
