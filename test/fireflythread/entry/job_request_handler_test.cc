#include "fireflythread/entry/job_request_handler.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {
namespace {

using Answer = std::variant<JobState, JobRequestOutcome>;

const ShardName kShard("desk");
const ShardName kOther("office");

struct JobRequestFixture {
  FakeTableStore store;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  JobRequestHandler handler{this->store, this->logger};

  auto PutOpen(const std::string& job) -> void {
    JobRequest request;
    request.queue = QueueId("orders");
    this->store.Put(JobTable(kShard), kShard.value, JobKey(JobId(job)),
                    EncodeJobRequest(request));
  }

  auto PutEnded(const ShardName& shard, const std::string& job) -> void {
    this->store.Put(kEndedTable, shard.value, job,
                    EncodeEndedJob({JobState::kCompleted, WallTime()}));
  }

  static auto Deadline() -> TimePoint {
    return ReadBootClock() + std::chrono::seconds(5);
  }

  /// Organisation of the caller of all requests.
  std::optional<OrganisationName> caller;

  auto ReadState(const std::string& job) -> Answer {
    std::optional<Answer> answer;
    this->handler.ReadState({kShard, kOther}, JobId(job), this->caller,
                            Deadline(),
                            [&answer](const Answer& got) { answer = got; });
    REQUIRE(FakeTableStore::RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  auto Submit(const std::string& job, const std::vector<ShardName>& others)
      -> JobRequestOutcome {
    JobRequest request;
    request.id = JobId(job);
    request.queue = QueueId("orders");
    request.organisation = this->caller.value_or(OrganisationName());
    std::optional<JobRequestOutcome> outcome;
    this->handler.Submit({kShard, "orders/3", others}, request, Deadline(),
                         [&outcome](JobRequestOutcome got) { outcome = got; });
    REQUIRE(FakeTableStore::RunUntil([&] { return outcome.has_value(); }));
    return *outcome;
  }

  auto Cancel(const std::string& job) -> JobRequestOutcome {
    std::optional<JobRequestOutcome> outcome;
    this->handler.Cancel({kShard, kOther}, JobId(job), this->caller, Deadline(),
                         [&outcome](JobRequestOutcome got) { outcome = got; });
    REQUIRE(FakeTableStore::RunUntil([&] { return outcome.has_value(); }));
    return *outcome;
  }
};

TEST_CASE("A repeat of an ended job's submission is accepted and not stored",
          "[jobs]") {
  // Guards against a job that runs a second time because its caller repeats
  // the submission after the job has ended.
  JobRequestFixture fixture;
  fixture.PutEnded(kShard, "a");
  fixture.PutEnded(kOther, "b");
  CHECK(fixture.Submit("a", {}) == JobRequestOutcome::kStored);
  CHECK(fixture.Submit("b", {kOther}) == JobRequestOutcome::kStored);
  CHECK(fixture.store.CountRows(JobTable(kShard)) == 0);
  CHECK(fixture.Submit("c", {kOther}) == JobRequestOutcome::kStored);
  CHECK(fixture.store.CountRows(JobTable(kShard)) == 1);
}

TEST_CASE("The state of a job is found in any shard", "[jobs]") {
  // Guards against "no such job" for an ended job of any shard.
  JobRequestFixture fixture;
  fixture.PutEnded(kShard, "a");
  fixture.PutEnded(kOther, "b");
  CHECK(fixture.ReadState("a") == Answer(JobState::kCompleted));
  CHECK(fixture.ReadState("b") == Answer(JobState::kCompleted));
  CHECK(fixture.ReadState("c") == Answer(JobRequestOutcome::kNoJob));
}

TEST_CASE("A job of another organisation is as one that does not exist",
          "[jobs]") {
  // Guards against one organisation's key that reads, cancels or takes over
  // another one's jobs, whichever table holds their rows.
  JobRequestFixture fixture;
  fixture.caller = OrganisationName("north");
  REQUIRE(fixture.Submit("queued", {}) == JobRequestOutcome::kStored);
  fixture.store.Put(
      kProgressTable, kShard.value, "running",
      EncodeJobProgress({JobState::kRunning, {}}, OrganisationName("north")));
  fixture.store.Put(kEndedTable, kOther.value, "ended",
                    EncodeEndedJob({JobState::kCompleted, WallTime(),
                                    OrganisationName("north")}));
  CHECK(fixture.ReadState("queued") == Answer(JobState::kQueued));
  CHECK(fixture.ReadState("running") == Answer(JobState::kRunning));
  CHECK(fixture.ReadState("ended") == Answer(JobState::kCompleted));
  const auto rows = fixture.store.CountRows(JobTable(kShard));

  fixture.caller = OrganisationName("south");
  for (const char* job : {"queued", "running", "ended"}) {
    INFO(job);
    CHECK(fixture.ReadState(job) == Answer(JobRequestOutcome::kNoJob));
    CHECK(fixture.Cancel(job) == JobRequestOutcome::kNoJob);
  }
  CHECK(fixture.Submit("queued", {}) == JobRequestOutcome::kForeign);
  CHECK(fixture.Submit("ended", {kOther}) == JobRequestOutcome::kForeign);
  CHECK(fixture.store.CountRows(JobTable(kShard)) == rows);
  fixture.caller = OrganisationName();
  CHECK(fixture.Submit("queued", {}) == JobRequestOutcome::kForeign);
  CHECK(fixture.ReadState("running") == Answer(JobRequestOutcome::kNoJob));
}

TEST_CASE("A job without organisation is found by every caller", "[jobs]") {
  // Guards against jobs of public queues and of earlier versions of the program
  // that nobody can ask for.
  JobRequestFixture fixture;
  fixture.PutOpen("a");
  fixture.PutEnded(kShard, "b");
  fixture.caller = OrganisationName("south");
  CHECK(fixture.ReadState("a") == Answer(JobState::kQueued));
  CHECK(fixture.ReadState("b") == Answer(JobState::kCompleted));
  CHECK(fixture.Submit("b", {}) == JobRequestOutcome::kStored);
}

TEST_CASE("The state of an open job takes at most two reads", "[jobs]") {
  JobRequestFixture fixture;
  fixture.PutOpen("a");
  CHECK(fixture.ReadState("a") == Answer(JobState::kQueued));
  CHECK(fixture.store.reads == 2);
  fixture.store.Put(kProgressTable, kShard.value, "a",
                    EncodeJobProgress({JobState::kRunning, {}}));
  CHECK(fixture.ReadState("a") == Answer(JobState::kRunning));
  CHECK(fixture.store.reads == 3);
}

TEST_CASE("The state of a job is found while its rows are moved", "[jobs]") {
  // Guards against "no such job" when the move is committed between two reads.
  for (const std::string& moved_before :
       {std::string(kProgressTable), JobTable(kShard),
        std::string(kEndedTable)}) {
    JobRequestFixture fixture;
    fixture.PutOpen("a");
    bool moved = false;
    fixture.store.before_read = [&](const RangeRequest& range) {
      if (moved || range.table != moved_before) {
        return;
      }
      moved = true;
      Transaction move;
      move.writes = {
          {std::string(kEndedTable), "a",
           EncodeEndedJob({JobState::kFailed, WallTime()}), kShard.value},
          {JobTable(kShard), JobKey(JobId("a")), std::nullopt, kShard.value}};
      fixture.store.Commit(move, std::chrono::seconds(1),
                           [](const TransactionOutcome&) {});
    };
    const Answer expected =
        moved_before == kEndedTable ? JobState::kQueued : JobState::kFailed;
    CHECK(fixture.ReadState("a") == expected);
  }
}

TEST_CASE("A cancellation does not hide its job's final state", "[jobs]") {
  // Guards against "cancelled" for a completed job whose cancellation was
  // stored while the job's rows were moved.
  JobRequestFixture fixture;
  fixture.PutEnded(kShard, "a");
  fixture.store.Put(JobTable(kShard), kShard.value, CancelKey(JobId("a")),
                    "{}");
  CHECK(fixture.ReadState("a") == Answer(JobState::kCompleted));
}

TEST_CASE("A cancellation of an ended job is accepted and not stored",
          "[jobs]") {
  JobRequestFixture fixture;
  fixture.PutEnded(kShard, "a");
  fixture.store.Put(kProgressTable, kShard.value, "b",
                    EncodeJobProgress({JobState::kCompleted, {}}));
  CHECK(fixture.Cancel("a") == JobRequestOutcome::kStored);
  CHECK(fixture.Cancel("b") == JobRequestOutcome::kStored);
  CHECK(fixture.store.CountRows(JobTable(kShard)) == 0);
  fixture.PutOpen("c");
  CHECK(fixture.Cancel("c") == JobRequestOutcome::kStored);
  CHECK(
      fixture.store.Has(JobTable(kShard), kShard.value, CancelKey(JobId("c"))));
}

}  // namespace
}  // namespace fireflythread::test
