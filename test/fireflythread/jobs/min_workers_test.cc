#include "fireflythread/jobs/min_workers.h"

#include <catch2/catch.hpp>

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

  auto Count() -> MinWorkers {
    return CountMinWorkers(this->state, this->wall_now, this->now);
  }
};

TEST_CASE("Tasks that fit beside no long-running task need further workers",
          "[jobs]") {
  // Guards against a pool whose free cores add up to enough for a task that
  // fits on none of its workers.
  BusyShard shard(2000);
  CHECK(shard.Count() == MinWorkers{3, 3});
  shard.AddJob("small", ShardFixture::Step(9, 6000));
  CHECK(shard.Count() == MinWorkers{3, 3});
  shard.AddJob("large", ShardFixture::Step(4, 7000));
  CHECK(shard.Count() == MinWorkers{7, 7});

  SECTION("late jobs count apart") {
    shard.wall_now += milliseconds(60000);
    CHECK(shard.Count() == MinWorkers{3, 7});
  }
  SECTION("no number of workers helps a task that is larger than each") {
    shard.AddJob("huge", ShardFixture::Step(4, 9000));
    CHECK(shard.Count() == MinWorkers{7, 7});
  }
}

TEST_CASE("Small steps share a further worker", "[jobs]") {
  BusyShard shard(5000);
  shard.AddJob("a", ShardFixture::Step(1, 4000));
  shard.AddJob("b", ShardFixture::Step(1, 4000));
  CHECK(shard.Count() == MinWorkers{4, 4});
}

TEST_CASE("A worker whose task needs all of it is needed until the task ends",
          "[jobs]") {
  // Guards against a worker that is taken away between the tasks of a step.
  ShardFixture shard(2);
  shard.AddJob("large", ShardFixture::Step(1, 7000));
  REQUIRE(shard.StartAll().size() == 1);
  shard.AddJob("lasting", BusyShard::LongRunning(1, 2000));
  REQUIRE(shard.StartAll().size() == 1);
  const MinWorkers needed =
      CountMinWorkers(shard.state, shard.wall_now, shard.now);
  CHECK(needed == MinWorkers{2, 2});
}

TEST_CASE("A long-running step needs as many workers as it is spread over",
          "[jobs]") {
  // Guards against long-running tasks that wait for ever because the cores of
  // the few workers that the pool has kept would suffice.
  BusyShard shard(1000);
  shard.AddJob("wide", BusyShard::LongRunning(5, 1000));
  REQUIRE(shard.StartAll().size() == 3);
  CHECK(shard.Count() == MinWorkers{5, 5});
  shard.AddJob("wider", BusyShard::LongRunning(8, 1000));
  REQUIRE(shard.StartAll().size() == 3);
  CHECK(shard.Count() == MinWorkers{8, 8});
}

}  // namespace
}  // namespace fireflythread::test
