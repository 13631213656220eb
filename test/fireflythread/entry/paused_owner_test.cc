#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

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

/// Workers that report an empty list of runs at once and count starts.
class IdleWorkers : public WorkerClient {
 public:
  auto Start(const StartCommand& start,
             Duration /*timeout*/,
             OrderCallback /*callback*/) -> void override {
    this->started_runs.push_back(start.run);
  }
  auto Stop(const StopCommand& /*stop*/,
            Duration /*timeout*/,
            OrderCallback /*callback*/) -> void override {}
  auto SetPace(const PaceCommand& /*pace*/,
               Duration /*timeout*/,
               OrderCallback /*callback*/) -> void override {}
  auto Poll(const PollCommand& /*poll*/,
            Duration /*timeout*/,
            ReportCallback callback) -> void override {
    if (this->polls++ == 0) {
      WorkerReport report;
      report.clock = std::chrono::seconds(100);
      report.started_at = std::chrono::milliseconds(1);
      callback(report);
    }
  }

  int polls = 0;
  std::vector<int> started_runs;
};

/// A shard with one worker and one waiting job of one task.
struct PausedOwnerFixture {
  PausedOwnerFixture() {
    JobRequest request;
    request.queue = QueueId("orders");
    JobStep step;
    step.count = 1;
    step.estimate = std::chrono::seconds(1);
    request.steps = {step};
    this->store.Put(JobTable(kShard), kShard.value, JobKey(JobId("job")),
                    EncodeJobRequest(request));
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
    WorkerEntry entry;
    entry.view.id = WorkerId("w");
    entry.view.service = kPart.pool;
    entry.view.address = "127.0.0.1:1";
    entry.view.capacity = {8000, 16000, 0};
    entry.view.started_at = std::chrono::milliseconds(1);
    Queue queue;
    queue.name = QueueName("orders");
    queue.host = "orders";
    queue.service = kPart.pool;
    this->owner->SetQueues({{IdOf(queue), queue}});
    this->owner->SetWorkers({{entry.view.id, entry}});
    this->owner->SetDraining({});
    this->owner->Start();
  }

  [[nodiscard]] auto HasStoredProgress() const -> bool {
    return std::any_of(
        this->store.transactions.begin(), this->store.transactions.end(),
        [](const Transaction& transaction) -> bool {
          return !transaction.writes.empty() &&
                 transaction.writes.front().table == kProgressTable;
        });
  }

  FakeTableStore store;
  IdleWorkers workers;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  MetricsRegistry metrics;
  std::unique_ptr<ShardTask> owner;
};

TEST_CASE("A run that was stored before a pause is not started after it",
          "[entry]") {
  // Guards against a process that was paused between storing a run and starting
  // it, and starts it while another entry owns the shard.
  PausedOwnerFixture fixture;
  REQUIRE(
      FakeTableStore::RunUntil([&] { return fixture.HasStoredProgress(); }));
  REQUIRE(fixture.workers.started_runs.empty());
  std::this_thread::sleep_for(std::chrono::milliseconds(1600));
  // The same task is planned again, and that run is stored and started in time.
  REQUIRE(FakeTableStore::RunUntil(
      [&] { return !fixture.workers.started_runs.empty(); }));
  CHECK(fixture.workers.started_runs.front() == 2);
}

TEST_CASE("An owner that has announced its end starts nothing", "[entry]") {
  // Guards against two runs of a task: the next owner relies on the announced
  // times, and the answer to a transaction starts another run after that.
  PausedOwnerFixture fixture;
  REQUIRE(
      FakeTableStore::RunUntil([&] { return fixture.HasStoredProgress(); }));
  fixture.owner->Close();
  FakeTableStore::RunCallbacks();
  CHECK(fixture.workers.started_runs.empty());
}

}  // namespace
}  // namespace fireflythread::test
