#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/unresponsive_workers.h"
#include "fireflythread/jobs/worker_lease.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

constexpr std::uint64_t kFence = 50;

/// A shard with one run on w0, whose owner has read that no row exists.
struct RestartedShard : ShardFixture {
  RestartedShard() : ShardFixture(2) {
    this->state.fence = kFence;
    ApplyUnresponsiveRow(this->state, {}, 0, 0);
    this->AddJob("a", Step(1, 1000));
    this->start = this->PlanAndStore().at(0);
    this->worker = this->start.worker.value;
  }

  /// The worker restarts and its new incarnation accepts the run; its lease
  /// may last for the longest time that a worker grants.
  auto AcceptAfterRestart() -> void {
    this->Restart(this->worker);
    this->Advance(milliseconds(500));
    OrderReply reply{OrderVerdict::kDone};
    reply.clock = this->ClockOf(this->worker);
    ApplyStartReply(this->state, this->start, reply, this->now);
    this->Advance(milliseconds(10));
    this->Report(this->worker, {Running(this->start)});
    REQUIRE(this->Task("a", 0).phase == RunPhase::kRunning);
  }

  StartCommand start;
  std::string worker;
};

/// Returns a new owner that took over at `former_owner.now`.
auto TakeOver(RestartedShard& former_owner) -> ShardFixture {
  ShardFixture successor(0);
  successor.now = former_owner.now;
  successor.state.fence = kFence + 1;
  successor.state.owned_since = successor.now;
  successor.state.former_owner_stopped = true;
  const ShardJob& job = former_owner.state.jobs.at(JobId("a"));
  auto progress = DecodeJobProgress(EncodeJobProgress(job.progress),
                                    TaskCount(job.request));
  REQUIRE(progress.has_value());
  AddJob(successor.state, job.request, std::move(progress),
         former_owner.version, successor.now);
  return successor;
}

/// Lets the worker be unreachable for a time, and returns whether its run is
/// still held then.
auto IsHeldAfter(ShardFixture& owner,
                 const std::string& worker,
                 milliseconds time) -> bool {
  ApplyPollFailure(owner.state, WorkerId(worker), owner.now);
  owner.Advance(time);
  ExpireWorkers(owner.state, owner.now);
  return !owner.Task("a", 0).worker.empty();
}

TEST_CASE("A released shard's next owner holds the run of a restarted worker",
          "[jobs]") {
  // Guards against two runs: an order with a deadline on the clock of the
  // former incarnation gives the new one the longest lease, not the usual one.
  RestartedShard former_owner;
  former_owner.AcceptAfterRestart();
  const auto named = UnresponsiveWorkers(former_owner.state, former_owner.now);
  REQUIRE(named.contains(WorkerId(former_owner.worker)));
  ShardFixture successor = TakeOver(former_owner);
  for (const auto& [id, left] : named) {
    successor.state.unresponsive_until[id] = successor.now + left;
  }
  SECTION("that never answers") {}
  SECTION("that has answered once") {
    WorkerReport report;
    report.clock = former_owner.ClockOf(former_owner.worker);
    report.started_at = milliseconds(2);
    report.running = {ShardFixture::Running(former_owner.start)};
    ApplyReport(successor.state, WorkerId(former_owner.worker), report,
                successor.now, successor.now);
  }
  CHECK(IsHeldAfter(successor, former_owner.worker, milliseconds(14'400)));
  CHECK_FALSE(IsHeldAfter(successor, former_owner.worker, milliseconds(1500)));
}

TEST_CASE("A lost owner's successor holds the run of a restarted worker",
          "[jobs]") {
  // Guards against the same without a release: the stored row tells it.
  RestartedShard former_owner;
  former_owner.AcceptAfterRestart();
  const auto row = NextUnresponsiveRow(former_owner.state, former_owner.now);
  REQUIRE(row);
  CHECK(row->workers.empty());
  REQUIRE(row->restarted.contains(WorkerId(former_owner.worker)));
  ApplyRowStored(former_owner.state, *row, ++former_owner.version);
  // The worker answers, so it goes on to get leases.
  CHECK(MayGetLease(former_owner.state, WorkerId(former_owner.worker)));

  ShardFixture successor = TakeOver(former_owner);
  ApplyUnresponsiveRow(successor.state,
                       DecodeUnresponsiveRow(EncodeUnresponsiveRow(*row)),
                       former_owner.version, kFence);
  CHECK(MayGetLease(successor.state, WorkerId(former_owner.worker)));
  CHECK(IsHeldAfter(successor, former_owner.worker, milliseconds(14'400)));
  CHECK_FALSE(IsHeldAfter(successor, former_owner.worker, milliseconds(1500)));
}

TEST_CASE("A row lists a restarted worker until its long lease is over",
          "[jobs]") {
  // Guards against a transaction a second for ever, and against runs that are
  // held for a lease that has expired.
  RestartedShard owner;
  owner.AcceptAfterRestart();
  const auto first = NextUnresponsiveRow(owner.state, owner.now);
  REQUIRE(first);
  ApplyRowStored(owner.state, *first, ++owner.version);
  owner.Advance(milliseconds(16'000));
  const auto last = NextUnresponsiveRow(owner.state, owner.now);
  REQUIRE(last);
  CHECK(last->restarted.empty());
  ApplyRowStored(owner.state, *last, ++owner.version);
  owner.Advance(milliseconds(2000));
  CHECK_FALSE(NextUnresponsiveRow(owner.state, owner.now));
}

TEST_CASE("A new owner counts the longest lease of a young incarnation",
          "[jobs]") {
  // Guards against two runs after a restart that no owner has noticed: an order
  // of the former owner gave the new incarnation a longer lease than usual.
  RestartedShard former_owner;
  const std::string worker = former_owner.worker;
  ShardFixture successor = TakeOver(former_owner);
  WorkerReport report;
  report.running = {ShardFixture::Running(former_owner.start)};
  SECTION("young") {
    report.clock = milliseconds(900);
    ApplyReport(successor.state, WorkerId(worker), report, successor.now,
                successor.now);
    CHECK(IsHeldAfter(successor, worker, milliseconds(10'000)));
    CHECK_FALSE(IsHeldAfter(successor, worker, milliseconds(700)));
  }
  SECTION("old") {
    report.clock = milliseconds(60'000);
    ApplyReport(successor.state, WorkerId(worker), report, successor.now,
                successor.now);
    CHECK(IsHeldAfter(successor, worker, milliseconds(6000)));
    CHECK_FALSE(IsHeldAfter(successor, worker, milliseconds(700)));
  }
}

TEST_CASE("A hold is passed on by an owner that was told of it", "[jobs]") {
  // Guards against the same when two owners are replaced one after the other.
  RestartedShard former_owner;
  former_owner.AcceptAfterRestart();
  const WorkerId worker(former_owner.worker);
  ShardFixture second = TakeOver(former_owner);
  second.state.restarted_until[worker] = second.now + milliseconds(14'000);
  SECTION("that has heard of the worker") {
    WorkerReport report;
    report.clock = former_owner.ClockOf(former_owner.worker);
    report.started_at = milliseconds(2);
    report.running = {ShardFixture::Running(former_owner.start)};
    ApplyReport(second.state, worker, report, second.now, second.now);
  }
  SECTION("that has not heard of the worker") {}
  SECTION("that has not loaded the jobs") {
    second.state.jobs.clear();
    second.state.workers.clear();
  }
  second.Advance(milliseconds(1000));
  const auto named = UnresponsiveWorkers(second.state, second.now);
  REQUIRE(named.contains(worker));
  CHECK(named.at(worker) >= milliseconds(13'000));
  if (!second.state.jobs.empty()) {
    ApplyUnresponsiveRow(second.state, {}, 0, 0);
    const auto row = NextUnresponsiveRow(second.state, second.now);
    REQUIRE(row);
    CHECK(row->restarted.contains(worker));
  }
}

TEST_CASE("A start that is still held is passed on with the time left",
          "[jobs]") {
  // Guards against an owner that tells the next one that a lease is over while
  // it still holds a run for it.
  RestartedShard owner;
  owner.Advance(milliseconds(1000));
  ApplyStartReply(owner.state, owner.start, {OrderVerdict::kUnknown},
                  owner.now);
  ApplyPollFailure(owner.state, owner.start.worker, owner.now);
  owner.Advance(milliseconds(6600));
  ExpireWorkers(owner.state, owner.now);
  REQUIRE_FALSE(owner.Task("a", 0).worker.empty());
  const auto named = UnresponsiveWorkers(owner.state, owner.now);
  CHECK(named.at(owner.start.worker) >= milliseconds(3500));
}

TEST_CASE("A start without an answer is held for the longest lease", "[jobs]") {
  // Guards against two runs: the start may have reached a new incarnation of
  // which the owner has not heard, and which is cut off since.
  RestartedShard owner;
  owner.Accept(owner.start);
  owner.AddJob("b", ShardFixture::Step(2, 1000));
  const auto starts = owner.PlanAndStore();
  REQUIRE(starts.size() == 2);
  const auto on_worker = [&](const StartCommand& each) -> bool {
    return each.worker == owner.start.worker;
  };
  const auto unanswered = std::find_if(starts.begin(), starts.end(), on_worker);
  REQUIRE(unanswered != starts.end());
  owner.Advance(milliseconds(1000));
  ApplyStartReply(owner.state, *unanswered, {OrderVerdict::kUnknown},
                  owner.now);
  ApplyPollFailure(owner.state, owner.start.worker, owner.now);
  owner.Advance(milliseconds(6600));
  ExpireWorkers(owner.state, owner.now);
  // The confirmed run is one of the known incarnation.
  CHECK(owner.Task("a", 0).worker.empty());
  CHECK(owner.Task("b", unanswered->task.index).worker == unanswered->worker);
  owner.Advance(milliseconds(4100));
  ExpireWorkers(owner.state, owner.now);
  CHECK(owner.Task("b", unanswered->task.index).worker.empty());
}

}  // namespace
}  // namespace fireflythread::test
