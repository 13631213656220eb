#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

constexpr std::size_t kJobsPerBatch = 45;

/// More jobs than one batch holds.
constexpr int kBusyJobs = 60;

/// Number of batches within which each dirty job is stored and its completions
/// are acknowledged.
constexpr int kBatchesToStoreAll = 6;

auto BusyJob(int number) -> std::string {
  return "h" + std::to_string(1000 + number);
}

/// Adds jobs that fit on no worker.
auto AddBusyJobs(ShardFixture& shard, int count) -> void {
  for (int number = 0; number < count; ++number) {
    shard.AddJob(BusyJob(number), ShardFixture::Step(1, 9000));
  }
}

/// Marks every busy job as dirty.
auto ChangeBusyJobs(ShardFixture& shard, int count) -> void {
  for (int number = 0; number < count; ++number) {
    shard.state.dirty.insert(JobId(BusyJob(number)));
  }
}

auto Holds(const RecordBatch& batch, const JobId& id) -> bool {
  return std::any_of(
      batch.records.begin(), batch.records.end(),
      [&id](const JobRecord& record) -> bool { return record.job == id; });
}

TEST_CASE("Jobs with large ids are stored while others keep changing",
          "[jobs]") {
  // Guards against planned runs that hold capacity and never start because jobs
  // with smaller ids fill every batch.
  ShardFixture shard(1);
  AddBusyJobs(shard, kBusyJobs);
  shard.AddJob("z", ShardFixture::Step(1, 1000));
  std::size_t starts = 0;
  for (int round = 0; round < kBatchesToStoreAll; ++round) {
    ChangeBusyJobs(shard, kBusyJobs);
    starts += shard.PlanAndStore().size();
  }
  CHECK(starts == 1);
}

TEST_CASE("Completions are acknowledged while other jobs keep changing",
          "[jobs]") {
  // Guards against workers that cannot drop completions under load, so that
  // their reports grow.
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(2, 1000));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  AddBusyJobs(shard, kBusyJobs);
  ChangeBusyJobs(shard, kBusyJobs);
  shard.Report("w0", {ShardFixture::Running(starts[1])},
               {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  for (int round = 0; round < kBatchesToStoreAll; ++round) {
    ChangeBusyJobs(shard, kBusyJobs);
    static_cast<void>(shard.PlanAndStore());
  }
  CHECK(shard.Worker("w0").last_stored_completion == 1);
}

TEST_CASE("A completion is not acknowledged before its job is stored",
          "[jobs]") {
  // Guards against a completion that the worker has dropped when the owner
  // fails before storing it: the successor would run the task a second time.
  ShardFixture shard(1);
  shard.AddJob("z", ShardFixture::Step(2, 1000));
  const auto starts = shard.StartAll();
  REQUIRE(starts.size() == 2);
  AddBusyJobs(shard, kBusyJobs);
  ChangeBusyJobs(shard, kBusyJobs);
  shard.Report("w0", {ShardFixture::Running(starts[1])},
               {ShardFixture::Ended(starts[0], 1, RunResult::kDone)});
  int refused = 0;
  bool stored = false;
  for (int round = 0; round < 3 * kBatchesToStoreAll; ++round) {
    ChangeBusyJobs(shard, kBusyJobs);
    const RecordBatch batch = TakeBatch(shard.state, kJobsPerBatch);
    if (Holds(batch, JobId("z")) && refused < 2) {
      ++refused;
      ApplyNotStored(shard.state, batch);
    } else {
      stored = stored || Holds(batch, JobId("z"));
      static_cast<void>(
          ApplyStored(shard.state, batch, ++shard.version, shard.now));
    }
    if (!stored) {
      CHECK(shard.Worker("w0").last_stored_completion == 0);
    }
  }
  CHECK(refused == 2);
  CHECK(stored);
  CHECK(shard.Worker("w0").last_stored_completion == 1);
}

TEST_CASE(
    "A completion of a restarted worker is not confused with a former one",
    "[jobs]") {
  // Guards against a completion number of the former incarnation that is
  // mistaken for one of the new incarnation, whose effect is not stored yet.
  constexpr int kManyBusyJobs = 150;
  ShardFixture shard(1);
  shard.AddJob("a", ShardFixture::Step(2, 1000));
  const auto former = shard.StartAll();
  REQUIRE(former.size() == 2);
  AddBusyJobs(shard, kManyBusyJobs);
  ChangeBusyJobs(shard, kManyBusyJobs);
  shard.Report("w0", {ShardFixture::Running(former[1])},
               {ShardFixture::Ended(former[0], 1, RunResult::kDone)});
  static_cast<void>(shard.PlanAndStore());

  shard.views[0].started_at = milliseconds(2);
  shard.Report("w0");
  const JobId late(BusyJob(50) + "a");
  shard.AddJob(late.value, ShardFixture::Step(2, 1000));
  const auto starts = shard.StartAll();
  const auto start = std::find_if(
      starts.begin(), starts.end(),
      [&late](const StartCommand& each) { return each.task.job == late; });
  REQUIRE(start != starts.end());
  shard.Report("w0", {}, {ShardFixture::Ended(*start, 1, RunResult::kDone)});
  CHECK(shard.Worker("w0").last_applied_completion == 1);

  bool stored = false;
  for (int round = 0; round < 4 * kBatchesToStoreAll; ++round) {
    ChangeBusyJobs(shard, kManyBusyJobs);
    const RecordBatch batch = TakeBatch(shard.state, kJobsPerBatch);
    stored = stored || Holds(batch, late);
    static_cast<void>(
        ApplyStored(shard.state, batch, ++shard.version, shard.now));
    if (!stored) {
      CHECK(shard.Worker("w0").last_stored_completion == 0);
    }
  }
  CHECK(stored);
  CHECK(shard.Worker("w0").last_stored_completion == 1);
}

TEST_CASE("A batch holds no more bytes than a transaction may", "[jobs]") {
  // Guards against a transaction that the store rejects for its size each time.
  constexpr std::size_t kBatchBytes = 400'000;
  constexpr int kLargeJobs = 7;
  ShardFixture shard(1);
  for (int number = 0; number < kLargeJobs; ++number) {
    const std::string id = "a" + std::to_string(number);
    shard.AddJob(id, ShardFixture::Step(1, 1000));
    // Only tasks that had a run keep their checkpoint in the row.
    shard.Task(id, 0).run = 1;
    shard.Task(id, 0).checkpoint.assign(number == 3 ? 500'000 : 150'000, 'x');
    shard.state.dirty.insert(JobId(id));
  }
  std::size_t stored = 0;
  for (int round = 0; round < kLargeJobs; ++round) {
    const RecordBatch batch = TakeBatch(shard.state, kJobsPerBatch);
    std::size_t bytes = 0;
    for (const JobRecord& record : batch.records) {
      bytes += record.value.size();
    }
    if (batch.records.size() > 1) {
      CHECK(bytes <= kBatchBytes);
    }
    stored += batch.records.size();
    static_cast<void>(
        ApplyStored(shard.state, batch, ++shard.version, shard.now));
  }
  CHECK(stored == kLargeJobs);
  CHECK(shard.state.dirty.empty());
}

}  // namespace
}  // namespace fireflythread::test
