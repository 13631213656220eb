#include "fireflythread/entry/ended_jobs_task.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/job_request_handler.h"
#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/ownership/ownership.h"
#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const ShardName kShard("desk");

/// Has the owner of a shard with ended jobs, on virtual time.
struct EndedFixture {
  EndedFixture() {
    this->state.shard = kShard;
    this->state.fence = this->store.Put(kFenceTable, kShard.value,
                                        std::string(kFenceKey), "{}");
  }

  auto AddEnded(const std::string& id) -> void {
    JobRequest request;
    request.id = JobId(id);
    request.queue = QueueId("orders");
    JobStep step;
    step.count = 1;
    request.steps = {step};
    const JobProgress progress{JobState::kFailed, {TaskState{}}};
    this->store.Put(JobTable(kShard), kShard.value, JobKey(request.id),
                    EncodeJobRequest(request));
    const std::uint64_t version = this->store.Put(
        kProgressTable, kShard.value, id, EncodeJobProgress(progress));
    AddJob(this->state, request, progress, version, this->now);
  }

  /// Advances the time in steps of one second and runs the task in each.
  auto Advance(seconds time) -> void {
    for (seconds passed{0}; passed < time; passed += seconds(1)) {
      this->now += seconds(1);
      this->wall_now += seconds(1);
      this->task.Step(false, this->now, this->wall_now);
      FakeTableStore::RunCallbacks();
    }
  }

  auto ReadState(const std::string& id)
      -> std::variant<JobState, JobRequestOutcome> {
    JobRequestHandler handler(this->store, this->logger);
    std::optional<std::variant<JobState, JobRequestOutcome>> answer;
    handler.ReadState({kShard}, JobId(id), std::nullopt,
                      ReadBootClock() + seconds(5),
                      [&answer](const auto& got) { answer = got; });
    REQUIRE(FakeTableStore::RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  FakeTableStore store;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  ShardState state;
  TimePoint now = ReadBootClock();
  WallTime wall_now{std::chrono::hours(1000)};
  int fenced = 0;
  EndedJobsTask task{this->store, this->logger, this->state,
                     [this] { ++this->fenced; }};
};

TEST_CASE("The state of an ended job is served for two minutes", "[jobs]") {
  // Guards against "no such job" for callers that ask minutes after the end,
  // and against rows that are never removed.
  EndedFixture fixture;
  fixture.AddEnded("a");
  CHECK(fixture.ReadState("a") ==
        std::variant<JobState, JobRequestOutcome>(JobState::kFailed));
  for (int minute = 0; minute < 3; ++minute) {
    fixture.Advance(minutes(1));
    CHECK(fixture.store.CountRows(kProgressTable) == 0);
    CHECK(fixture.store.CountRows(JobTable(kShard)) == 0);
    CHECK(fixture.ReadState("a") ==
          std::variant<JobState, JobRequestOutcome>(JobState::kFailed));
  }
  fixture.Advance(minutes(10));
  CHECK(fixture.store.CountRows(kEndedTable) == 0);
}

TEST_CASE("A cancel tombstone is kept for ten minutes and then removed",
          "[jobs]") {
  // Guards against a tombstone that goes while the submission is on its way,
  // and against rows of ids that callers make up which stay for ever.
  EndedFixture fixture;
  const CancelTombstone tombstone =
      WithCancellation({}, OrganisationName("north"), fixture.wall_now);
  fixture.store.Put(kEndedTable, kShard.value, "a",
                    EncodeCancelTombstone(tombstone));
  fixture.Advance(minutes(9));
  CHECK(fixture.store.CountRows(kEndedTable) == 1);
  CHECK(fixture.ReadState("a") ==
        std::variant<JobState, JobRequestOutcome>(JobRequestOutcome::kNoJob));
  fixture.Advance(minutes(3));
  CHECK(fixture.store.CountRows(kEndedTable) == 0);
}

TEST_CASE("A move whose answer is lost is retried without side effects",
          "[jobs]") {
  EndedFixture fixture;
  fixture.AddEnded("a");
  fixture.store.lose_next_answer = true;
  fixture.Advance(seconds(1));
  REQUIRE(fixture.store.CountRows(kEndedTable) == 1);
  CHECK(fixture.state.unmoved.size() == 1);
  fixture.AddEnded("b");
  fixture.Advance(seconds(5));
  CHECK(fixture.state.unmoved.empty());
  CHECK(fixture.store.CountRows(kEndedTable) == 2);
  CHECK(fixture.ReadState("a") ==
        std::variant<JobState, JobRequestOutcome>(JobState::kFailed));
  CHECK(fixture.ReadState("b") ==
        std::variant<JobState, JobRequestOutcome>(JobState::kFailed));
  // No more transactions are sent.
  const std::size_t sent = fixture.store.transactions.size();
  fixture.Advance(seconds(10));
  CHECK(fixture.store.transactions.size() == sent);
}

TEST_CASE("A former owner moves nothing", "[jobs]") {
  // Guards against rows that are removed while a new owner reads the shard.
  EndedFixture fixture;
  fixture.AddEnded("a");
  fixture.store.Put(kFenceTable, kShard.value, std::string(kFenceKey), "{}");
  fixture.Advance(seconds(1));
  CHECK(fixture.store.CountRows(kEndedTable) == 0);
  CHECK(fixture.fenced == 1);
}

TEST_CASE("Old rows of ended jobs are removed page by page", "[jobs]") {
  EndedFixture fixture;
  const auto put = [&fixture](int number, WallTime ended_at) {
    fixture.store.Put(kEndedTable, kShard.value,
                      "job" + std::to_string(10000 + number),
                      EncodeEndedJob({JobState::kCompleted, ended_at}));
  };
  for (int number = 0; number < 1100; ++number) {
    put(number, fixture.wall_now - minutes(number % 2 == 0 ? 20 : 1));
  }
  fixture.Advance(seconds(50));
  CHECK(fixture.store.reads == 0);
  fixture.Advance(minutes(1));
  CHECK(fixture.store.CountRows(kEndedTable) == 550);
  CHECK(fixture.store.reads == 3);
}

}  // namespace
}  // namespace fireflythread::test
