#include "fireflythread/routing/pool_health.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

namespace fireflythread {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

auto Worker(int number) -> VmId {
  return VmId("vm-" + std::to_string(number));
}

auto MakePool(int size) -> PoolHealth {
  PoolHealth health;
  std::set<VmId> vms;
  for (int i = 0; i < size; ++i) {
    vms.insert(Worker(i));
  }
  health.SetWorkers(vms);
  return health;
}

auto Fail(PoolHealth& health, const VmId& vm, int times) -> int {
  int ejections = 0;
  for (int i = 0; i < times; ++i) {
    const auto change = health.RecordAttempt(vm, true, Duration(0), kStart);
    ejections += change && change->ejected ? 1 : 0;
  }
  return ejections;
}

}  // namespace

// Guards against a worker that fails every request so quickly that it receives
// most requests, and against a worker that stays ejected after it has
// recovered.
TEST_CASE("a failing worker is ejected and readmitted by probes") {
  PoolHealth health = MakePool(6);
  CHECK(Fail(health, Worker(0), 50) == 1);
  CHECK(health.IsEjected(Worker(0)));
  CHECK(health.DueProbes(kStart).empty());
  const TimePoint due = kStart + PoolHealth::kFirstEjection;
  REQUIRE(health.DueProbes(due).size() == 1);
  CHECK_FALSE(health.RecordProbe(Worker(0), true, due));
  CHECK_FALSE(health.RecordProbe(Worker(0), false, due));
  CHECK_FALSE(health.RecordProbe(Worker(0), true, due));
  const auto change = health.RecordProbe(Worker(0), true, due);
  REQUIRE(change.has_value());
  CHECK_FALSE(change->ejected);
  CHECK_FALSE(health.IsEjected(Worker(0)));
}

// Guards against a worker whose health probes succeed while it fails requests:
// it would fail five of them after each readmission.
TEST_CASE("a worker that fails again after readmission is ejected at once") {
  PoolHealth health = MakePool(6);
  Fail(health, Worker(0), 5);
  health.RecordProbe(Worker(0), true, kStart);
  health.RecordProbe(Worker(0), true, kStart);
  REQUIRE_FALSE(health.IsEjected(Worker(0)));
  CHECK(Fail(health, Worker(0), 1) == 1);
  CHECK(health.DueProbes(kStart + PoolHealth::kFirstEjection).empty());
  CHECK(health.DueProbes(kStart + 2 * PoolHealth::kFirstEjection).size() == 1);
}

// Guards against a faulty worker that fails many requests before it is ejected,
// and against ejecting workers for requests that fail on any worker.
TEST_CASE("the only failing worker of a pool is ejected sooner") {
  PoolHealth health = MakePool(6);
  CHECK(Fail(health, Worker(0), 3) == 1);
  PoolHealth spread = MakePool(6);
  Fail(spread, Worker(1), 1);
  CHECK(Fail(spread, Worker(0), 4) == 0);
  CHECK(Fail(spread, Worker(0), 1) == 1);
}

// Guards against a pool that is emptied by a false signal, such as a bad
// request that fails on any worker.
TEST_CASE("ejection leaves two thirds of the pool and at least one worker") {
  for (const int size : {1, 2, 3, 10}) {
    PoolHealth health = MakePool(size);
    for (int i = 0; i < size; ++i) {
      Fail(health, Worker(i), 100);
    }
    CHECK(health.EjectedCount() == size / 3);
    CHECK(health.EjectedCount() < size);
  }
}

// Guards against a worker that stays in rotation because it fails most requests
// but never five in a row.
TEST_CASE("a high failure ratio ejects") {
  PoolHealth health = MakePool(6);
  bool ejected = false;
  for (int i = 0; i < 60 && !ejected; ++i) {
    const auto change =
        health.RecordAttempt(Worker(0), i % 4 != 0, milliseconds(5), kStart);
    ejected = change.has_value() && change->ejected;
  }
  CHECK(ejected);
}

// Guards against a worker that answers without errors, but so slowly that
// requests miss their deadlines.
TEST_CASE("a worker much slower than the others is ejected") {
  PoolHealth health = MakePool(6);
  for (int i = 0; i < 100; ++i) {
    for (int worker = 0; worker < 6; ++worker) {
      health.RecordAttempt(Worker(worker), false,
                           milliseconds(worker == 3 ? 400 : 20), kStart);
    }
  }
  CHECK(health.EjectedCount() == 1);
  CHECK(health.Reason(Worker(3)) == "slow");
}

// Guards against ejecting a healthy worker because the network lost the state
// of a connection, and against keeping a worker that is really gone.
TEST_CASE("after an unresponsive connection a probe decides on ejection") {
  PoolHealth health = MakePool(6);
  health.RecordUnresponsive(Worker(0), kStart);
  health.RecordUnresponsive(Worker(1), kStart);
  CHECK(health.DueProbes(kStart).size() == 2);
  CHECK(health.IsSuspect(Worker(0), kStart));
  CHECK_FALSE(health.RecordProbe(Worker(0), true, kStart));
  CHECK_FALSE(health.IsSuspect(Worker(0), kStart));
  const auto change = health.RecordProbe(Worker(1), false, kStart);
  REQUIRE(change.has_value());
  CHECK(change->ejected);
}

}  // namespace fireflythread
