#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "test/fireflythread/interference/interference_fixture.h"

namespace fireflythread::test {
namespace {

/// Starts a job of one task and returns its worker; empty if it waits.
auto StartOne(ShardFixture& shard, const std::string& job, const JobStep& step)
    -> std::string {
  shard.AddJob(job, step);
  const std::vector<StartCommand> starts = shard.StartAll();
  return starts.empty() ? "" : starts.front().worker.value;
}

TEST_CASE("A serving task avoids a worker with an interfering image",
          "[interference]") {
  // Load: three workers, of which the freest has the neighbour. Guards against
  // evidence that is not used.
  ShardFixture shard(3);
  const std::string beside = StartOne(shard, "a", FillerStep("guilty"));
  shard.Worker("w1").used.millicores += 100;
  shard.Worker("w2").used.millicores += 200;
  REQUIRE(beside == "w0");
  SECTION("without evidence it takes the freest one") {
    CHECK(StartOne(shard, "b", ServingStep("serving")) == "w0");
    CHECK(shard.state.kept_apart == 0);
  }
  SECTION("with evidence it takes another one") {
    SetInterference(shard, "serving", "guilty");
    CHECK(StartOne(shard, "b", ServingStep("serving")) == "w1");
    CHECK(shard.state.kept_apart == 1);
  }
  SECTION("evidence of another pair has no effect") {
    SetInterference(shard, "serving", "other");
    CHECK(StartOne(shard, "b", ServingStep("serving")) == "w0");
  }
}

TEST_CASE("A filler avoids a serving task that it slows down",
          "[interference]") {
  // Load: two serving tasks on two workers and an idle worker. Guards against a
  // filler that keeps an idle worker in the pool.
  ShardFixture shard(3);
  REQUIRE(StartOne(shard, "a", ServingStep("serving")) == "w0");
  REQUIRE(StartOne(shard, "b", ServingStep("insensitive")) == "w1");
  SECTION("it goes to the other serving task") {
    SetInterference(shard, "serving", "guilty");
    CHECK(StartOne(shard, "c", FillerStep("guilty")) == "w1");
  }
  SECTION("it does not go to the idle worker") {
    SetInterference(shard, "serving", "guilty");
    SetInterference(shard, "insensitive", "guilty", 0.5);
    CHECK(StartOne(shard, "c", FillerStep("guilty")) == "w1");
  }
}

TEST_CASE("Finite tasks are packed in spite of interference",
          "[interference]") {
  // Load: an idle worker beside a serving task. Guards against more workers in
  // use, which cost more than a slower task.
  ShardFixture shard(2);
  REQUIRE(StartOne(shard, "a", ServingStep("serving")) == "w0");
  SetInterference(shard, "serving", "guilty");
  JobStep finite = ShardFixture::Step(1, 1000);
  finite.image = "guilty";
  CHECK(StartOne(shard, "b", finite) == "w0");
}

TEST_CASE("Without room elsewhere a task is placed beside an interfering image",
          "[interference]") {
  // Load: one worker has room, and the interfering image. Guards against a job
  // that waits only to be separated.
  ShardFixture shard(2);
  REQUIRE(StartOne(shard, "a", FillerStep("guilty")) == "w0");
  SetInterference(shard, "serving", "guilty");
  shard.Worker("w1").used.millicores = 8000;
  CHECK(StartOne(shard, "b", ServingStep("serving")) == "w0");
}

TEST_CASE("Racks, failures and anti-affinity come before separation",
          "[interference]") {
  // Load: two workers, of which w0 has the interfering image.
  ShardFixture shard(2);
  REQUIRE(StartOne(shard, "a", FillerStep("guilty")) == "w0");
  SetInterference(shard, "serving", "guilty");
  JobStep serving = ServingStep("serving");
  SECTION("rack of the data") {
    serving.data_rack = "r0";
    CHECK(StartOne(shard, "b", serving) == "w0");
  }
  SECTION("failures") {
    shard.Worker("w1").failures_in_row = 1;
    CHECK(StartOne(shard, "b", serving) == "w0");
  }
  SECTION("anti-affinity") {
    serving.count = 2;
    serving.max_per_worker = 1;
    shard.AddJob("b", serving);
    CHECK(shard.StartAll().size() == 2);
  }
}

TEST_CASE("A run's first seconds and late reports teach nothing",
          "[interference]") {
  // Load: a tail at ten times its target 1 s after the start, and in a report
  // to a poll that was sent 10 s ago. Guards against blaming neighbours for a
  // cold start, or for what happened beside others.
  ShardFixture shard(1);
  shard.AddJob("a", ServingStep("serving"));
  RunningRun run = ShardFixture::Running(shard.StartAll().at(0));
  run.usage = 1000;
  shard.Advance(milliseconds(1000));
  shard.Report("w0", {run});
  CHECK(shard.state.image_pairs.levels.empty());
  shard.Advance(milliseconds(10'000));
  shard.ReportSince(shard.now - milliseconds(10'000), "w0", {run});
  CHECK(shard.state.image_pairs.levels.empty());
  shard.Report("w0", {run});
  CHECK(shard.state.image_pairs.levels.size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
