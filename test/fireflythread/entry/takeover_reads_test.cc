#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/shard_task.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/ownership/ownership.h"
#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {
namespace {

const PoolPart kPart{ServiceName("desk"), 0, 1};
const ShardName kShard = ShardOf(kPart);

/// Workers that never answer.
class UnresponsiveWorkers : public WorkerClient {
 public:
  auto Start(const StartCommand& /*start*/,
             Duration /*timeout*/,
             OrderCallback /*callback*/) -> void override {}
  auto Stop(const StopCommand& /*stop*/,
            Duration /*timeout*/,
            OrderCallback /*callback*/) -> void override {}
  auto SetPace(const PaceCommand& /*pace*/,
               Duration /*timeout*/,
               OrderCallback /*callback*/) -> void override {}
  auto Poll(const PollCommand& /*hold*/,
            Duration /*timeout*/,
            ReportCallback /*callback*/) -> void override {}
};

/// Has the rows of a shard and its current owner.
struct OwnerFixture {
  FakeTableStore store;
  UnresponsiveWorkers workers;
  int loaded = 0;
  Logger logger{{},
                LogLevel::kInfo,
                [this](std::string_view line) {
                  this->loaded += line.find("\"loaded\"") != line.npos &&
                                          line.find("\"revision\"") != line.npos
                                      ? 1
                                      : 0;
                },
                [] { return WallTime(); }};
  MetricsRegistry metrics;
  std::unique_ptr<ShardTask> owner;

  auto PutJob(const std::string& id, std::optional<JobState> state) -> void {
    JobRequest request;
    request.queue = QueueId("orders");
    JobStep step;
    step.count = 1;
    request.steps = {step};
    this->store.Put(JobTable(kShard), kShard.value, JobKey(JobId(id)),
                    EncodeJobRequest(request));
    if (state) {
      this->store.Put(kProgressTable, kShard.value, id,
                      EncodeJobProgress({*state, {TaskState{}}}));
    }
  }

  /// Replaces the owner by a new one and waits until it has loaded the shard.
  auto TakeOver() -> void {
    this->owner.reset();
    const std::uint64_t fence = this->store.Put(kFenceTable, kShard.value,
                                                std::string(kFenceKey), "{}");
    ShardTask::Environment environment{this->store,
                                       this->workers,
                                       this->logger,
                                       this->metrics,
                                       [] { return ReadBootClock(); },
                                       [](const std::vector<WorkerId>&) {},
                                       [](const ShardName&) {}};
    this->owner = std::make_unique<ShardTask>(std::move(environment), kPart,
                                              fence, Handover{});
    const int before = this->loaded;
    this->owner->Start();
    REQUIRE(FakeTableStore::RunUntil(
        [this, before] { return this->loaded > before; }));
  }

  [[nodiscard]] auto RowsRead() const -> std::size_t {
    return this->store.RowsRead(kProgressTable) +
           this->store.RowsRead(JobTable(kShard)) +
           this->store.RowsRead("ended");
  }
};

TEST_CASE("A new owner reads no rows of jobs that have ended", "[jobs]") {
  // Guards against takeovers whose duration grows with the number of jobs that
  // ever ran in the pool. No job starts during a takeover.
  OwnerFixture fixture;
  for (int number = 0; number < 50; ++number) {
    fixture.PutJob("ended" + std::to_string(number), JobState::kCompleted);
  }
  fixture.PutJob("cancelled", JobState::kCancelled);
  fixture.store.Put(JobTable(kShard), kShard.value,
                    CancelKey(JobId("cancelled")), "{}");
  fixture.PutJob("running", JobState::kRunning);
  fixture.PutJob("queued", std::nullopt);
  fixture.TakeOver();
  REQUIRE(FakeTableStore::RunUntil(
      [&] { return fixture.store.CountRows("ended") == 51; }));

  const std::size_t before = fixture.RowsRead();
  fixture.TakeOver();
  CHECK(fixture.RowsRead() - before == 3);
}

TEST_CASE("An owner removes a cancellation of a job that was moved", "[jobs]") {
  // Guards against cancellations that were stored while their jobs' rows were
  // moved, are never removed and are read by each new owner.
  OwnerFixture fixture;
  fixture.PutJob("ended", JobState::kCompleted);
  fixture.TakeOver();
  REQUIRE(FakeTableStore::RunUntil(
      [&] { return fixture.store.CountRows("ended") == 1; }));
  fixture.store.Put(JobTable(kShard), kShard.value, CancelKey(JobId("ended")),
                    "{}");
  CHECK(FakeTableStore::RunUntil(
      [&] { return fixture.store.CountRows(JobTable(kShard)) == 0; }));
  // A new owner removes one that its predecessor has not removed.
  fixture.owner.reset();
  fixture.store.Put(JobTable(kShard), kShard.value, CancelKey(JobId("ended")),
                    "{}");
  fixture.TakeOver();
  CHECK(FakeTableStore::RunUntil(
      [&] { return fixture.store.CountRows(JobTable(kShard)) == 0; }));
}

}  // namespace
}  // namespace fireflythread::test
