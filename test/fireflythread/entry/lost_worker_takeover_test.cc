#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/shard_task.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/ownership/ownership.h"
#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

const PoolPart kPart{ServiceName("desk"), 0, 1};
const ShardName kShard = ShardOf(kPart);

/// Workers that accept every start and report what they run. Polls of lost
/// workers get no answer.
class LossyWorkers : public WorkerClient {
 public:
  auto Start(const StartCommand& start,
             Duration /*timeout*/,
             OrderCallback callback) -> void override {
    this->running[start.worker].push_back({start.task, start.run, "", 100, 0});
    this->last_run[start.task.job] = start.run;
    this->worker_of[start.task.job] = start.worker;
    OrderReply reply{OrderVerdict::kDone};
    reply.clock = Clock();
    callback(reply);
  }
  auto Stop(const StopCommand& /*stop*/,
            Duration /*timeout*/,
            OrderCallback /*callback*/) -> void override {}
  auto SetPace(const PaceCommand& /*pace*/,
               Duration /*timeout*/,
               OrderCallback /*callback*/) -> void override {}
  auto Poll(const PollCommand& poll,
            Duration /*timeout*/,
            ReportCallback callback) -> void override {
    if (this->lost.contains(poll.worker)) {
      ++this->failed_polls;
      callback(OrderReply{OrderVerdict::kUnknown});
      return;
    }
    WorkerReport report;
    report.clock = Clock();
    report.started_at = milliseconds(1);
    report.running = this->running[poll.worker];
    callback(report);
  }

  std::set<WorkerId> lost;
  int failed_polls = 0;
  std::map<JobId, int> last_run;
  std::map<JobId, WorkerId> worker_of;

 private:
  [[nodiscard]] static auto Clock() -> milliseconds {
    return std::chrono::duration_cast<milliseconds>(
        ReadBootClock().time_since_epoch());
  }

  std::map<WorkerId, std::vector<RunningRun>> running;
};

/// A store that can hold back the answers to reads of the jobs, or of the row.
class HoldingTableStore : public FakeTableStore {
 public:
  auto ReadRange(RangeRequest request,
                 Duration timeout,
                 Callback<RangePage> callback) -> void override {
    if ((this->hold_jobs && request.table == JobTable(kShard)) ||
        (this->hold_row && request.table == kFenceTable)) {
      this->held = [this, request, timeout, callback] {
        FakeTableStore::ReadRange(request, timeout, callback);
      };
      return;
    }
    FakeTableStore::ReadRange(std::move(request), timeout, std::move(callback));
  }

  auto Release() -> void {
    this->hold_jobs = false;
    this->hold_row = false;
    std::exchange(this->held, nullptr)();
  }

  bool hold_jobs = false;
  bool hold_row = false;
  std::function<void()> held;
};

/// A shard with three workers, two long-running jobs of one task, and an owner
/// that another one can replace without a release.
struct LostWorkerFixture {
  auto PutJob(const std::string& id) -> void {
    JobRequest request;
    request.queue = QueueId("orders");
    JobStep step;
    step.count = 1;
    step.long_running = true;
    step.size = {1000, 100, 0};
    request.steps = {step};
    this->store.Put(JobTable(kShard), kShard.value, JobKey(JobId(id)),
                    EncodeJobRequest(request));
  }

  /// Replaces the owner, whose process ends at once.
  auto TakeOver() -> void {
    this->owner.reset();
    Handover handover;
    handover.former.fence = this->fence;
    this->fence = this->store.Put(kFenceTable, kShard.value,
                                  std::string(kFenceKey), "{}");
    ShardTask::Environment environment{this->store,
                                       this->workers,
                                       this->logger,
                                       this->metrics,
                                       [] { return ReadBootClock(); },
                                       [](const std::vector<WorkerId>&) {},
                                       [](const ShardName&) {}};
    this->owner = std::make_unique<ShardTask>(std::move(environment), kPart,
                                              this->fence, handover);
    Queue queue;
    queue.name = QueueName("orders");
    queue.host = "orders";
    queue.service = kPart.pool;
    this->owner->SetQueues({{IdOf(queue), queue}});
    this->owner->SetWorkers(Directory());
    this->owner->SetDraining({});
    this->owner->Start();
  }

  /// Waits until the condition holds, while the feed of jobs stays current.
  [[nodiscard]] auto WaitFor(const std::function<bool()>& condition) -> bool {
    return FakeTableStore::RunUntil([this, &condition]() -> bool {
      const TimePoint now = ReadBootClock();
      if (now - this->fed_at > milliseconds(500)) {
        this->fed_at = now;
        this->store.Put(JobTable(kShard), kShard.value,
                        CancelKey(JobId("unknown")), "{}");
      }
      return condition();
    });
  }

  [[nodiscard]] auto RunOf(const std::string& job) const -> int {
    const auto found = this->workers.last_run.find(JobId(job));
    return found == this->workers.last_run.end() ? 0 : found->second;
  }

  static auto Directory() -> WorkerDirectory::Workers {
    WorkerDirectory::Workers workers;
    for (const std::string id : {"w0", "w1", "w2"}) {
      WorkerEntry entry;
      entry.view.id = WorkerId(id);
      entry.view.service = kPart.pool;
      entry.view.address = "127.0.0.1:1";
      entry.view.capacity = {8000, 16000, 0};
      entry.view.started_at = milliseconds(1);
      workers.emplace(entry.view.id, entry);
    }
    return workers;
  }

  HoldingTableStore store;
  LossyWorkers workers;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  MetricsRegistry metrics;
  std::unique_ptr<ShardTask> owner;
  std::uint64_t fence = 0;
  TimePoint fed_at;
};

TEST_CASE("A lost worker's task does not wait for a new owner's full leases",
          "[entry]") {
  // Guards against a long-running task that stays without a run for 16 s,
  // because its owner knew the worker as lost and was lost too.
  LostWorkerFixture fixture;
  fixture.PutJob("lost");
  fixture.PutJob("lost-later");
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] {
    return fixture.RunOf("lost") == 1 && fixture.RunOf("lost-later") == 1;
  }));
  const WorkerId first = fixture.workers.worker_of.at(JobId("lost"));
  const WorkerId second = fixture.workers.worker_of.at(JobId("lost-later"));
  REQUIRE(first != second);
  fixture.workers.lost = {first};
  REQUIRE(fixture.WaitFor([&] { return fixture.workers.failed_polls >= 8; }));
  // The former owner did not know that the second worker is lost, so its run
  // has to be held for the longest lease.
  fixture.workers.lost = {first, second};
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.RunOf("lost") == 2; }));
  CHECK(fixture.RunOf("lost-later") == 1);
}

TEST_CASE("The row names lost workers until their runs are loaded", "[entry]") {
  // Guards against a new owner that forgets what its predecessor knew, because
  // it stores the row before it has read the jobs, and is lost itself.
  LostWorkerFixture fixture;
  fixture.PutJob("lost");
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.RunOf("lost") == 1; }));
  const WorkerId lost = fixture.workers.worker_of.at(JobId("lost"));
  fixture.workers.lost = {lost};
  const auto row = [&fixture]() -> std::string {
    return fixture.store.Value(kFenceTable, kShard.value, "unresponsive");
  };
  const auto names_lost = [&]() -> bool {
    return row().find(lost.value) != std::string::npos;
  };
  REQUIRE(fixture.WaitFor(names_lost));
  const std::size_t before = fixture.store.transactions.size();
  fixture.store.hold_jobs = true;
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.store.held != nullptr; }));
  // Some steps of the new owner, which has read the row, but not the jobs.
  const TimePoint steps_end = ReadBootClock() + milliseconds(300);
  REQUIRE(fixture.WaitFor([&] { return ReadBootClock() >= steps_end; }));
  CHECK_FALSE(fixture.owner->KnowsRuns());
  fixture.store.Release();
  REQUIRE(fixture.WaitFor([&] {
    return names_lost() &&
           row().find(std::to_string(fixture.fence)) != std::string::npos;
  }));
  for (std::size_t index = before; index < fixture.store.transactions.size();
       ++index) {
    for (const Write& write : fixture.store.transactions[index].writes) {
      if (write.key == "unresponsive") {
        CAPTURE(*write.value);
        CHECK(write.value->find(lost.value) != std::string::npos);
      }
    }
  }
}

TEST_CASE("An owner that was replaced cannot change the row", "[entry]") {
  // Guards against a row of a former owner that the next one takes for its own.
  LostWorkerFixture fixture;
  fixture.PutJob("lost");
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.RunOf("lost") == 1; }));
  fixture.store.Put(kFenceTable, kShard.value, std::string(kFenceKey), "{}");
  fixture.workers.lost = {fixture.workers.worker_of.at(JobId("lost"))};
  REQUIRE(fixture.WaitFor([&] {
    const Transaction& last = fixture.store.transactions.back();
    return !last.writes.empty() && last.writes.front().key == "unresponsive";
  }));
  CHECK(fixture.store.Value(kFenceTable, kShard.value, "unresponsive").empty());
}

TEST_CASE("A worker gets leases again after the row's answer was lost",
          "[entry]") {
  // Guards against a worker that the owner takes for named for ever, because
  // each further row conflicts with the one whose answer was lost.
  LostWorkerFixture fixture;
  fixture.PutJob("lost");
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.RunOf("lost") == 1; }));
  const WorkerId lost = fixture.workers.worker_of.at(JobId("lost"));
  fixture.workers.lost = {lost};
  fixture.store.lose_next_answer = true;
  REQUIRE(fixture.WaitFor([&] { return !fixture.store.lose_next_answer; }));
  fixture.workers.lost.clear();
  CHECK(fixture.WaitFor([&] {
    return fixture.store.Value(kFenceTable, kShard.value, "unresponsive")
               .find("\"left_ms\":{}") != std::string::npos;
  }));
}

TEST_CASE("A new owner starts nothing before it has read the row", "[entry]") {
  // Guards against a lease for a worker that the row names.
  LostWorkerFixture fixture;
  fixture.PutJob("job");
  fixture.store.hold_row = true;
  fixture.TakeOver();
  REQUIRE(fixture.WaitFor([&] { return fixture.store.held != nullptr; }));
  const TimePoint steps_end = ReadBootClock() + milliseconds(300);
  REQUIRE(fixture.WaitFor([&] { return ReadBootClock() >= steps_end; }));
  CHECK(fixture.RunOf("job") == 0);
  CHECK_FALSE(fixture.owner->KnowsRuns());
  fixture.store.Release();
  CHECK(fixture.WaitFor([&] { return fixture.RunOf("job") == 1; }));
}

}  // namespace
}  // namespace fireflythread::test
