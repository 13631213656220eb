#include "fireflythread/jobs/worker_need.h"

#include <catch2/catch.hpp>
#include <string>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// A shard of three workers that all run a long-running task.
class BusyShard : public ShardFixture {
 public:
  explicit BusyShard(int millicores) : ShardFixture(3) {
    this->AddJob("lasting", LongRunning(3, millicores));
    REQUIRE(this->StartAll().size() == 3);
  }

  static auto LongRunning(int count, int millicores) -> JobStep {
    JobStep step = ShardFixture::Step(count, millicores);
    step.long_running = true;
    step.max_per_worker = 1;
    return step;
  }

  auto Count() -> WorkerNeed {
    return MeasureWorkerNeed(this->state, this->wall_now, this->now);
  }
};

TEST_CASE("Tasks that fit beside no long-running task need further workers",
          "[jobs]") {
  // Guards against a pool whose free cores add up to enough for a task that
  // fits on none of its workers.
  BusyShard shard(2000);
  CHECK(shard.Count() == WorkerNeed{3, 3, 0, 0});
  shard.AddJob("small", ShardFixture::Step(9, 6000));
  CHECK(shard.Count() == WorkerNeed{3, 3, 0, 0});
  shard.AddJob("large", ShardFixture::Step(4, 7000));
  CHECK(shard.Count() == WorkerNeed{7, 7, 4, 4});

  SECTION("late jobs count apart") {
    shard.wall_now += milliseconds(60000);
    CHECK(shard.Count() == WorkerNeed{3, 7, 0, 4});
  }
  SECTION("no number of workers helps a task that is larger than each") {
    shard.AddJob("huge", ShardFixture::Step(4, 9000));
    CHECK(shard.Count() == WorkerNeed{7, 7, 4, 4});
  }
}

TEST_CASE("A few places beside long-running tasks don't serve many large tasks",
          "[jobs]") {
  // Guards against one worker with room that hides the need of all the others.
  ShardFixture shard(3);
  for (int job = 0; job < 2; ++job) {
    JobStep step = BusyShard::LongRunning(1, 2000);
    step.required_label = "r" + std::to_string(job);
    shard.AddJob("lasting" + std::to_string(job), step);
  }
  JobStep light = BusyShard::LongRunning(1, 500);
  light.required_label = "r2";
  shard.AddJob("light", light);
  REQUIRE(shard.StartAll().size() == 3);
  shard.AddJob("large", ShardFixture::Step(4, 7000));
  const WorkerNeed needed =
      MeasureWorkerNeed(shard.state, shard.wall_now, shard.now);
  CHECK(needed == WorkerNeed{6, 6, 3, 3});
}

TEST_CASE("Workers that leave or don't answer are no place for a task",
          "[jobs]") {
  // Guards against a need that is hidden by workers that get no starts.
  ShardFixture shard(3);
  JobStep step = BusyShard::LongRunning(3, 2000);
  shard.AddJob("lasting", step);
  REQUIRE(shard.StartAll().size() == 3);
  SECTION("leaving") {
    shard.Worker("w0").drain_requested = true;
  }
  SECTION("not answering") {
    shard.Worker("w0").failed_polls = 1;
  }
  shard.AddJob("wide", step);
  REQUIRE(shard.StartAll().size() == 2);
  const WorkerNeed needed =
      MeasureWorkerNeed(shard.state, shard.wall_now, shard.now);
  CHECK(needed == WorkerNeed{3, 3, 1, 1});
}

TEST_CASE("Fillers need no workers", "[jobs]") {
  // Guards against VMs that are brought for tasks that only fill gaps.
  BusyShard shard(2000);
  JobStep filler = ShardFixture::Step(50, 1000);
  filler.size.memory_mb = 16000;
  filler.filler = true;
  shard.AddJob("filler", filler);
  CHECK(shard.Count() == WorkerNeed{3, 3, 0, 0});
}

TEST_CASE("Small steps share a further worker", "[jobs]") {
  BusyShard shard(5000);
  shard.AddJob("a", ShardFixture::Step(1, 4000));
  shard.AddJob("b", ShardFixture::Step(1, 4000));
  CHECK(shard.Count() == WorkerNeed{4, 4, 1, 1});
}

TEST_CASE("A worker whose task needs all of it is needed until the task ends",
          "[jobs]") {
  // Guards against a worker that is taken away between the tasks of a step.
  ShardFixture shard(2);
  shard.AddJob("large", ShardFixture::Step(1, 7000));
  REQUIRE(shard.StartAll().size() == 1);
  shard.AddJob("lasting", BusyShard::LongRunning(1, 2000));
  REQUIRE(shard.StartAll().size() == 1);
  const WorkerNeed needed =
      MeasureWorkerNeed(shard.state, shard.wall_now, shard.now);
  CHECK(needed == WorkerNeed{2, 2, 0, 0});
}

TEST_CASE("A long-running step needs as many workers as it is spread over",
          "[jobs]") {
  // Guards against long-running tasks that wait for ever because the cores of
  // the few workers that the pool has kept would suffice.
  BusyShard shard(1000);
  shard.AddJob("wide", BusyShard::LongRunning(5, 1000));
  REQUIRE(shard.StartAll().size() == 3);
  CHECK(shard.Count() == WorkerNeed{3, 3, 2, 2});
  shard.AddJob("wider", BusyShard::LongRunning(8, 1000));
  REQUIRE(shard.StartAll().size() == 3);
  CHECK(shard.Count() == WorkerNeed{3, 3, 5, 5});
}

}  // namespace
}  // namespace fireflythread::test
