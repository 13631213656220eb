#include "fireflythread/jobs/ended_jobs.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "fireflythread/jobs/job_tables.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// Cancels jobs that run nothing and stores the result.
auto EndJobs(ShardFixture& shard, int count) -> void {
  for (int number = 0; number < count; ++number) {
    const std::string id = "job" + std::to_string(100 + number);
    shard.AddJob(id, ShardFixture::Step(1, 1000));
    CancelJob(shard.state, JobId(id), shard.now);
  }
  while (!shard.state.dirty.empty()) {
    CHECK(shard.PlanAndStore().empty());
  }
}

auto AbsentProgress(const std::string& id) -> Row {
  return {std::string(kProgressTable), id, 0, "", "desk"};
}

TEST_CASE("A job with a run that may exist is not moved", "[jobs]") {
  // Guards against a run that no owner knows of any more.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(1, 1000));
  REQUIRE(shard.StartAll().size() == 1);
  CancelJob(shard.state, JobId("a"), shard.now);
  CHECK(shard.PlanAndStore().empty());
  CHECK(NextEndedBatch(shard.state).moves.empty());
  ApplyOtherInstance(shard.state, WorkerId("w0"), "10.0.0.0:80", shard.now);
  ExpireWorkers(shard.state, shard.now);
  CHECK(NextEndedBatch(shard.state).moves.size() == 1);
}

TEST_CASE("A transaction of moves stays within the store's limit", "[jobs]") {
  ShardFixture shard(0);
  EndJobs(shard, 30);
  for (auto& [id, job] : shard.state.finished) {
    job.cancel_version = 3;
  }
  for (int number = 0; number < 60; ++number) {
    shard.state.orphaned_cancels[JobId("stray" + std::to_string(number))] = 5;
  }
  std::size_t moved = 0;
  std::size_t batches = 0;
  while (true) {
    const EndedBatch batch = NextEndedBatch(shard.state);
    if (batch.moves.empty() && batch.cancels.empty()) {
      break;
    }
    const Transaction transaction =
        MakeMoveTransaction(shard.state, batch, shard.wall_now);
    CHECK(transaction.conditions.size() + transaction.writes.size() <= 100);
    moved += batch.moves.size();
    ApplyMoved(shard.state, batch, ++shard.version, shard.now);
    ++batches;
  }
  CHECK(moved == 30);
  CHECK(batches < 6);
  CHECK(shard.state.orphaned_cancels.empty());
}

TEST_CASE("Moves wait while progress of running work is waiting", "[jobs]") {
  // Guards against moves that delay the starts of a busy pool.
  ShardFixture shard(0);
  const EndedTransaction last_transaction{shard.now, milliseconds(180)};
  const auto due = [&](bool waits, milliseconds after) -> bool {
    return IsMoveDue(shard.state, last_transaction, waits, shard.now + after);
  };
  CHECK_FALSE(due(false, milliseconds(5000)));
  EndJobs(shard, 2);
  CHECK_FALSE(due(false, milliseconds(300)));
  CHECK(due(false, milliseconds(1000)));
  CHECK_FALSE(due(true, milliseconds(3000)));
  CHECK(due(true, milliseconds(3600)));
  EndJobs(shard, 30);
  CHECK_FALSE(due(false, milliseconds(100)));
  CHECK(due(false, milliseconds(200)));
}

TEST_CASE("A move whose answer was lost does not block the other moves",
          "[jobs]") {
  // Guards against a batch that conflicts forever because some of its jobs were
  // moved by a transaction whose answer was lost.
  ShardFixture shard(0);
  EndJobs(shard, 2);
  ApplyMoveConflict(shard.state, Conflict{{AbsentProgress("job100")}},
                    shard.now);
  const EndedBatch batch = NextEndedBatch(shard.state);
  REQUIRE(batch.moves.size() == 1);
  CHECK(batch.moves[0].job == JobId("job101"));
  CHECK_FALSE(shard.state.fenced_off);
}

TEST_CASE("A moved job is remembered until the feed has passed its move",
          "[jobs]") {
  // Guards against a job that runs again because a late page of the feed
  // contains its row, and against memory that grows with each job.
  ShardFixture shard(0);
  EndJobs(shard, 1);
  ApplyMoved(shard.state, NextEndedBatch(shard.state), 500, shard.now);
  const auto deliver = [&shard]() -> bool {
    shard.AddJob("job100", ShardFixture::Step(1, 1000));
    return shard.state.jobs.contains(JobId("job100"));
  };
  shard.state.feed_revision = 499;
  ForgetMoved(shard.state, shard.now + std::chrono::hours(1));
  CHECK_FALSE(deliver());
  shard.state.feed_revision = 500;
  ForgetMoved(shard.state, shard.now + milliseconds(119000));
  CHECK_FALSE(deliver());
  ForgetMoved(shard.state, shard.now + milliseconds(120000));
  CHECK(shard.state.finished.empty());
  CHECK(shard.state.moved.empty());
}

TEST_CASE("A job whose move had no answer is remembered until a later move",
          "[jobs]") {
  // Guards against a job that is forgotten before the feed has passed a move
  // whose revision is unknown because its answer was lost.
  ShardFixture shard(0);
  EndJobs(shard, 2);
  ApplyMoveConflict(shard.state, Conflict{{AbsentProgress("job100")}},
                    shard.now);
  shard.state.feed_revision = 600;
  ForgetMoved(shard.state, shard.now + std::chrono::hours(1));
  CHECK(shard.state.finished.contains(JobId("job100")));
  ApplyMoved(shard.state, NextEndedBatch(shard.state), 500, shard.now);
  ForgetMoved(shard.state, shard.now + std::chrono::hours(1));
  CHECK(shard.state.finished.empty());
}

TEST_CASE("A cancellation that arrives during the move is removed after it",
          "[jobs]") {
  ShardFixture shard(0);
  EndJobs(shard, 1);
  const JobId id("job100");
  const EndedBatch batch = NextEndedBatch(shard.state);
  ApplyCancelRow(shard.state, id, 480, shard.now);
  ApplyMoved(shard.state, batch, 500, shard.now);
  const EndedBatch rest = NextEndedBatch(shard.state);
  REQUIRE(rest.cancels.size() == 1);
  CHECK(rest.cancels[0].version == 480);
  // Nothing remains to be done once the row is removed.
  Row gone{JobTable(shard.state.shard), CancelKey(id), 0, "", "desk"};
  ApplyMoveConflict(shard.state, Conflict{{gone}}, shard.now);
  CHECK(NextEndedBatch(shard.state).cancels.empty());
}

TEST_CASE("A conflict on the fence ends the ownership", "[jobs]") {
  ShardFixture shard(0);
  EndJobs(shard, 1);
  ApplyMoveConflict(shard.state, Conflict{{{"fence", "owner", 9, "", "desk"}}},
                    shard.now);
  CHECK(shard.state.fenced_off);
}

}  // namespace
}  // namespace fireflythread::test
