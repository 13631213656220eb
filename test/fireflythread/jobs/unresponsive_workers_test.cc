#include "fireflythread/jobs/unresponsive_workers.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>

#include "fireflythread/jobs/worker_lease.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

constexpr std::uint64_t kFence = 50;

/// A shard with one run on w0, whose owner has read that no row exists.
struct OwnedShard : ShardFixture {
  explicit OwnedShard(int worker_count) : ShardFixture(worker_count) {
    this->state.fence = kFence;
    ApplyUnresponsiveRow(this->state, {}, 0, 0);
    this->AddJob("a", Step(1, 1000));
    REQUIRE(this->StartAll().size() == 1);
  }

  /// Stores the row that is due.
  auto StoreRow() -> UnresponsiveRow {
    const auto row = NextUnresponsiveRow(this->state, this->now);
    REQUIRE(row);
    ApplyRowStored(this->state, *row, ++this->version);
    return *row;
  }

  [[nodiscard]] auto NextPollOf(const std::string& worker)
      -> std::optional<PollCommand> {
    ShardWorker& polled = this->Worker(worker);
    polled.poll_in_flight = false;
    polled.next_poll = this->now;
    return NextPoll(this->state, polled, true, this->now);
  }
};

TEST_CASE("Nothing is stored while all workers answer", "[jobs]") {
  // Guards against a transaction in each step of an owner.
  OwnedShard shard(2);
  CHECK_FALSE(NextUnresponsiveRow(shard.state, shard.now));
}

TEST_CASE("A row names an unresponsive worker until its runs are released",
          "[jobs]") {
  // Guards against a new owner that holds the run for a lease that has expired.
  OwnedShard shard(2);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  const UnresponsiveRow first = shard.StoreRow();
  REQUIRE(first.workers.contains(WorkerId("w0")));
  CHECK(first.fence == kFence);
  CHECK_FALSE(NextUnresponsiveRow(shard.state, shard.now));

  shard.Advance(milliseconds(1000));
  const UnresponsiveRow second = shard.StoreRow();
  CHECK(second.workers.at(WorkerId("w0")) ==
        first.workers.at(WorkerId("w0")) - milliseconds(1000));

  shard.Advance(second.workers.at(WorkerId("w0")));
  ExpireWorkers(shard.state, shard.now);
  CHECK(shard.StoreRow().workers ==
        std::map<WorkerId, milliseconds>{{WorkerId("w0"), milliseconds(0)}});
  shard.Advance(shard.state.limits.released_retention);
  ExpireWorkers(shard.state, shard.now);
  CHECK(shard.StoreRow().workers.empty());
}

TEST_CASE("A worker that the stored row names gets no lease", "[jobs]") {
  // Guards against two runs of a task: the worker answers again, its owner
  // extends the lease, and a new owner releases the run by the time in the row.
  OwnedShard shard(1);
  REQUIRE(shard.NextPollOf("w0")->deadline);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  const auto named = NextUnresponsiveRow(shard.state, shard.now);
  REQUIRE(named);
  SECTION("and the row's answer is lost") {
    ApplyRowNotStored(shard.state, shard.now);
  }
  SECTION("and the row is stored") {
    ApplyRowStored(shard.state, *named, 101);
  }
  shard.Advance(milliseconds(500));
  shard.Report("w0", {{TaskName{JobId("a"), 0, 0, 0}, 1, "", 0, 0}});
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  CHECK_FALSE(shard.NextPollOf("w0")->deadline);
  CHECK(shard.PlanAndStore().empty());

  CHECK(shard.StoreRow().workers.empty());
  CHECK(shard.NextPollOf("w0")->deadline);
  CHECK(shard.PlanAndStore().size() == 1);
}

TEST_CASE("A planned run does not start on a worker named meanwhile",
          "[jobs]") {
  // Guards against a lease that is given after the row was stored.
  OwnedShard shard(1);
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  PlanRuns(shard.state, shard.wall_now, shard.now);
  const RecordBatch batch = TakeBatch(shard.state, 10);
  REQUIRE(batch.planned.size() == 1);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  REQUIRE(NextUnresponsiveRow(shard.state, shard.now));
  CHECK(ApplyStored(shard.state, batch, 101, shard.now).empty());
  CHECK(shard.Task("b", 0).phase == RunPhase::kWaiting);
}

TEST_CASE("A row that is not stored is tried again", "[jobs]") {
  // Guards against a new owner that finds no row because one call was lost.
  OwnedShard shard(1);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  REQUIRE(NextUnresponsiveRow(shard.state, shard.now));
  CHECK_FALSE(NextUnresponsiveRow(shard.state, shard.now));
  ApplyRowNotStored(shard.state, shard.now);
  shard.Advance(milliseconds(200));
  CHECK(NextUnresponsiveRow(shard.state, shard.now));
}

TEST_CASE("One lost poll does not end a worker's lease", "[jobs]") {
  // Guards against a named worker whose next long poll outlasts its lease: the
  // row without it is stored only after that poll has been sent.
  OwnedShard shard(1);
  const RunningRun run{TaskName{JobId("a"), 0, 0, 0}, 1, "", 0, 0};
  constexpr milliseconds kTimeout{2800};
  constexpr milliseconds kStoreTime{10};
  milliseconds lease_end{0};
  std::optional<PollCommand> poll;
  std::optional<UnresponsiveRow> row;
  TimePoint poll_sent_at;
  TimePoint row_sent_at;
  int polls = 0;
  shard.Worker("w0").next_poll = shard.now;
  // The worker sees every poll but the answer to the first one is lost. Each
  // round is a step of the owner, in the order of ShardTask::Step().
  for (const TimePoint end = shard.now + milliseconds(12000); shard.now < end;
       shard.Advance(milliseconds(5))) {
    if (poll && polls == 1 && shard.now - poll_sent_at >= kTimeout) {
      ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
      poll.reset();
    }
    if (poll && polls > 1 && shard.now - poll_sent_at >= poll->wait) {
      shard.ReportSince(poll_sent_at, "w0", {run});
      poll.reset();
    }
    if (row && shard.now - row_sent_at >= kStoreTime) {
      ApplyRowStored(shard.state, *row, ++shard.version);
      row.reset();
    }
    ExpireWorkers(shard.state, shard.now);
    ShardWorker& worker = shard.Worker("w0");
    if (auto next = NextPoll(shard.state, worker, true, shard.now)) {
      poll = std::move(next);
      poll_sent_at = shard.now;
      ++polls;
      lease_end = std::max(lease_end, poll->deadline.value_or(lease_end));
    }
    if (auto next = NextUnresponsiveRow(shard.state, shard.now)) {
      row = std::move(next);
      row_sent_at = shard.now;
    }
    CAPTURE(polls, shard.ClockOf("w0").count(), lease_end.count());
    REQUIRE(shard.ClockOf("w0") < lease_end);
  }
}

TEST_CASE("A row that was certainly not stored withholds no lease", "[jobs]") {
  // Guards against runs that lapse because the store refuses calls while their
  // worker answers again.
  OwnedShard shard(1);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  REQUIRE(NextUnresponsiveRow(shard.state, shard.now));
  ApplyRowRefused(shard.state, shard.now);
  shard.Advance(milliseconds(250));
  shard.Report("w0", {{TaskName{JobId("a"), 0, 0, 0}, 1, "", 0, 0}});
  CHECK(shard.NextPollOf("w0")->deadline);
}

TEST_CASE("A start that came too late does not end the known leases",
          "[jobs]") {
  // Guards against two runs of a task: a worker refuses a start as late, its
  // next poll gets no answer, and its other run is released at once, although
  // the run's lease has just been extended.
  OwnedShard shard(1);
  shard.Advance(std::chrono::seconds(60));
  shard.Report("w0", {{TaskName{JobId("a"), 0, 0, 0}, 1, "", 0, 0}});
  REQUIRE(shard.NextPollOf("w0")->deadline);
  shard.AddJob("b", ShardFixture::Step(1, 1000));
  const auto starts = shard.PlanAndStore();
  REQUIRE(starts.size() == 1);
  OrderReply late{OrderVerdict::kDeadlinePassed};
  late.clock = shard.ClockOf("w0");
  ApplyStartReply(shard.state, starts[0], late, shard.now);
  ApplyPollFailure(shard.state, WorkerId("w0"), shard.now);
  SECTION("for this owner") {
    ExpireWorkers(shard.state, shard.now);
    CHECK(shard.Task("a", 0).worker == WorkerId("w0"));
  }
  SECTION("for the next one") {
    const auto row = NextUnresponsiveRow(shard.state, shard.now);
    REQUIRE(row);
    CHECK(row->workers.at(WorkerId("w0")) >= shard.state.limits.run_lease);
  }
}

/// A shard whose new owner loads one run on w0, and w0 does not answer.
struct SuccessorShard : ShardFixture {
  explicit SuccessorShard(OwnedShard& former) : ShardFixture(0) {
    this->state.owned_since = this->now;
    const ShardJob& job = former.state.jobs.at(JobId("a"));
    fireflythread::AddJob(this->state, job.request, job.progress,
                          former.version, this->now);
  }
};

TEST_CASE("A new owner releases a lost worker's runs by the former one's row",
          "[jobs]") {
  // Guards against waiting for the longest lease again at each change of owner.
  OwnedShard former(1);
  ApplyPollFailure(former.state, WorkerId("w0"), former.now);
  former.Advance(milliseconds(3000));
  const UnresponsiveRow row = former.StoreRow();
  const milliseconds left = row.workers.at(WorkerId("w0"));
  REQUIRE(left < milliseconds(4000));
  SuccessorShard successor(former);

  SECTION("written by the owner directly before it") {
    ApplyUnresponsiveRow(successor.state, row, 7, kFence);
    successor.Advance(left - milliseconds(1));
    ExpireWorkers(successor.state, successor.now);
    CHECK(successor.Task("a", 0).phase != RunPhase::kWaiting);
    successor.Advance(milliseconds(1));
    ExpireWorkers(successor.state, successor.now);
    CHECK(successor.Task("a", 0).phase == RunPhase::kWaiting);
  }
  SECTION("and passes it on") {
    ApplyUnresponsiveRow(successor.state, row, 7, kFence);
    successor.Advance(milliseconds(200));
    const auto next = NextUnresponsiveRow(successor.state, successor.now);
    REQUIRE(next);
    CHECK(next->workers.at(WorkerId("w0")) == left - milliseconds(200));
  }
  SECTION("but not if an owner in between may not have known it") {
    ApplyUnresponsiveRow(successor.state, row, 7, kFence + 1);
    successor.Advance(left + milliseconds(1));
    ExpireWorkers(successor.state, successor.now);
    CHECK(successor.Task("a", 0).phase != RunPhase::kWaiting);
    CHECK_FALSE(MayGetLease(successor.state, WorkerId("w0")));
  }
}

TEST_CASE("A row is unchanged after encoding and decoding", "[jobs]") {
  UnresponsiveRow row;
  row.fence = 123;
  row.workers = {{WorkerId("w0"), milliseconds(0)},
                 {WorkerId("w1"), milliseconds(6523)}};
  const UnresponsiveRow read =
      DecodeUnresponsiveRow(EncodeUnresponsiveRow(row));
  CHECK(read.fence == row.fence);
  CHECK(read.workers == row.workers);
}

TEST_CASE("An unreadable row names no worker", "[jobs]") {
  // Guards against an owner that fails on a row that another version wrote.
  for (const std::string value :
       {"", "[]", "{", R"({"fence":"x","left_ms":{"w0":1}})",
        R"({"fence":1,"left_ms":[1]})", R"({"fence":1,"left_ms":{"w0":-1}})",
        R"({"fence":1,"left_ms":{"w0":"soon"}})"}) {
    CAPTURE(value);
    CHECK(DecodeUnresponsiveRow(value).workers.empty());
  }
  CHECK(rc::check([](const std::string& value) -> void {
    RC_ASSERT(DecodeUnresponsiveRow(value).workers.empty());
  }));
}

}  // namespace
}  // namespace fireflythread::test
