#include "fireflythread/entry/job_canceller.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/submission_queue.h"
#include "test/fireflythread/entry/queue_entry.h"

namespace fireflythread::test {
namespace {

using State = QueueEntry::State;

const ShardName kDesk("desk");

/// Returns the transaction of the last submission of a job.
auto LastSubmission(const FakeTableStore& store, const std::string& job)
    -> Transaction {
  for (auto sent = store.transactions.rbegin();
       sent != store.transactions.rend(); ++sent) {
    if (!sent->writes.empty() && sent->writes[0].key == JobKey(JobId(job))) {
      return *sent;
    }
  }
  FAIL("no submission of " << job);
  return {};
}

auto CommitLate(FakeTableStore& store, const Transaction& transaction)
    -> TransactionOutcome {
  std::optional<TransactionOutcome> outcome;
  store.Commit(
      transaction, std::chrono::seconds(1),
      [&outcome](const TransactionOutcome& got) -> void { outcome = got; });
  REQUIRE(FakeTableStore::RunUntil([&] { return outcome.has_value(); }));
  return *outcome;
}

TEST_CASE("A job that was cancelled before it was stored never runs",
          "[jobs]") {
  // Guards against a submission that lay in the socket of a paused entry and
  // is stored after its caller was told that there is no such job.
  QueueSite site;
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kNoJob);
  CHECK(site.first.ReadState("a") == State(JobRequestOutcome::kNoJob));

  CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 0);
  CHECK(site.first.ReadState("a") == State(JobState::kCancelled));
  CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 0);

  CHECK(site.second.Submit("b") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("b") == 1);
}

TEST_CASE("A cancelled job is not stored by a late transaction", "[jobs]") {
  // Guards against a submission whose transaction the store carries out after
  // the caller was told that there is no such job.
  QueueSite site;
  REQUIRE(site.first.Submit("a") == JobRequestOutcome::kStored);
  Transaction late = LastSubmission(site.store, "a");
  late.writes[0].key = JobKey(JobId("b"));
  for (Condition& condition : late.conditions) {
    if (condition.key == JobKey(JobId("a"))) {
      condition.key = JobKey(JobId("b"));
    } else if (condition.key == "a") {
      condition.key = "b";
    }
  }
  CHECK(site.second.Cancel("b") == JobRequestOutcome::kNoJob);
  CHECK(std::holds_alternative<Conflict>(CommitLate(site.store, late)));
  CHECK(site.CountStored("b") == 0);
}

TEST_CASE("A cancelled job is not stored while its queue moves", "[jobs]") {
  // Guards against a cancellation and a submission that know different shards.
  QueueSite site;
  SECTION("and the submitting entry has missed the move") {
    site.first.Configure(2, "planner");
    site.RunUntilAssigned("planner");
    CHECK(site.first.Cancel("a") == JobRequestOutcome::kNoJob);
    CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  }
  SECTION("and the cancelling entry has missed the move") {
    site.first.Configure(2, "planner");
    site.RunUntilAssigned("planner");
    CHECK(site.second.Cancel("a") == JobRequestOutcome::kNoJob);
    CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
  }
  SECTION("after the cancellation, and moves back") {
    CHECK(site.first.Cancel("a") == JobRequestOutcome::kNoJob);
    site.first.Configure(2, "planner");
    site.RunUntilAssigned("planner");
    CHECK(site.first.Cancel("b") == JobRequestOutcome::kNoJob);
    CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
    site.first.Configure(3, "desk");
    site.RunUntilAssigned("desk");
    CHECK(site.second.Submit("b") == JobRequestOutcome::kStored);
    CHECK(site.CountStored("b") == 0);
  }
  CHECK(site.CountStored("a") == 0);
  CHECK(site.first.ReadState("a") == State(JobState::kCancelled));
}

TEST_CASE("An entry that missed a queue's move cancels a job stored since",
          "[jobs]") {
  // Guards against "no such job" for an accepted job in a shard that the entry
  // does not look into.
  QueueSite site;
  site.first.Configure(2, "planner");
  site.RunUntilAssigned("planner");
  REQUIRE(site.first.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.second.Cancel("a") == JobRequestOutcome::kStored);
  CHECK(site.first.ReadState("a") == State(JobState::kCancelled));
}

TEST_CASE("A job is cancelled although its service is not configured any more",
          "[jobs]") {
  // Guards against "no such job" for a job that runs once its service is back.
  QueueSite site;
  REQUIRE(site.first.Submit("a") == JobRequestOutcome::kStored);
  site.first.Configure(2, "planner");
  site.RunUntilAssigned("planner");
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kStored);
  CHECK(site.first.ReadState("a") == State(JobState::kCancelled));
}

TEST_CASE("A job that is stored while it is looked for is cancelled",
          "[jobs]") {
  // Guards against "no such job" for a job that was accepted meanwhile.
  QueueSite site;
  bool submitted = false;
  site.store.before_read = [&](const RangeRequest& request) -> void {
    const bool last = request.table == kEndedTable && request.part == "desk";
    if (last && !std::exchange(submitted, true)) {
      site.store.Put(JobTable(kDesk), "desk", JobKey(JobId("a")),
                     EncodeJobRequest({}));
    }
  };
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kStored);
  CHECK(site.first.ReadState("a") == State(JobState::kCancelled));
}

TEST_CASE("A cancellation whose answer is lost is made again", "[jobs]") {
  // Guards against a cancellation that is never acknowledged.
  QueueSite site;
  site.store.lose_next_answer = true;
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kNoJob);
  CHECK(site.first.Cancel("a") == JobRequestOutcome::kNoJob);
  CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 0);
}

TEST_CASE("Another organisation's cancellation keeps no job from being stored",
          "[jobs]") {
  // Guards against one organisation that prevents or learns of another one's
  // jobs.
  QueueSite site;
  QueueEntry& north = site.first;
  QueueEntry& south = site.second;
  north.caller = OrganisationName("north");
  south.caller = OrganisationName("south");
  CHECK(south.Cancel("a") == JobRequestOutcome::kNoJob);
  CHECK(north.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 1);
  CHECK(north.ReadState("a") == State(JobState::kQueued));
  CHECK(north.Submit("a") == JobRequestOutcome::kStored);
  CHECK(south.ReadState("a") == State(JobRequestOutcome::kNoJob));
  CHECK(south.Cancel("a") == JobRequestOutcome::kNoJob);
  CHECK(south.Submit("a") == JobRequestOutcome::kForeign);
  CHECK(north.ReadState("a") == State(JobState::kQueued));

  // Both cancel, in either order.
  CHECK(south.Cancel("b") == JobRequestOutcome::kNoJob);
  CHECK(north.Cancel("b") == JobRequestOutcome::kNoJob);
  CHECK(north.Submit("b") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("b") == 0);
  CHECK(north.ReadState("b") == State(JobState::kCancelled));
  CHECK(south.ReadState("b") == State(JobRequestOutcome::kNoJob));
  CHECK(south.Submit("b") == JobRequestOutcome::kForeign);

  // A caller without organisation cancels only jobs without one.
  south.caller = OrganisationName();
  CHECK(south.Cancel("c") == JobRequestOutcome::kNoJob);
  CHECK(north.Submit("c") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("c") == 1);
  CHECK(south.Cancel("d") == JobRequestOutcome::kNoJob);
  CHECK(south.Submit("d") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("d") == 0);

  // Where organisations are not checked, everybody's job is cancelled.
  south.caller.reset();
  CHECK(south.Cancel("e") == JobRequestOutcome::kNoJob);
  CHECK(north.Submit("e") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("e") == 0);
}

TEST_CASE("Cancellations of unknown jobs are limited", "[jobs]") {
  // Guards against callers who fill the store with ids of jobs that do not
  // exist, and against a limit that keeps accepted jobs from being cancelled.
  QueueSite site;
  site.first.caller = OrganisationName("north");
  REQUIRE(site.first.Submit("accepted") == JobRequestOutcome::kStored);
  int refused = 0;
  for (int number = 0; number < 260; ++number) {
    const auto outcome = site.first.Cancel("x" + std::to_string(number));
    refused += outcome == JobRequestOutcome::kNotStored ? 1 : 0;
  }
  CHECK(refused > 20);
  CHECK(site.store.CountRows(kEndedTable) + refused == 260);
  CHECK(site.first.Cancel("accepted") == JobRequestOutcome::kStored);
  site.first.caller = OrganisationName("south");
  CHECK(site.first.Cancel("other") == JobRequestOutcome::kNoJob);
}

TEST_CASE("A tombstone names a limited number of organisations", "[jobs]") {
  // Guards against a row that grows until the store refuses it.
  QueueSite site;
  int refused = 0;
  for (int number = 0; number < 40; ++number) {
    site.first.caller = OrganisationName("team" + std::to_string(number));
    const auto outcome = site.first.Cancel("a");
    refused += outcome == JobRequestOutcome::kNotStored ? 1 : 0;
  }
  CHECK(refused == 24);
  CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 1);
}

}  // namespace
}  // namespace fireflythread::test
