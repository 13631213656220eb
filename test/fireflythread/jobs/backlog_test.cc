#include "fireflythread/jobs/backlog.h"

#include <catch2/catch.hpp>
#include <string>

#include "fireflythread/quota/resources.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

const OrganisationName kOrg("org");
const OrganisationName kOther("other");

/// A shard of two workers with 16 cores together and two organisations.
struct BacklogFixture {
  explicit BacklogFixture(int workers = 2) : shard(workers) {
    SetOrganisations(this->shard.state.shares, {{kOrg, 1.0}, {kOther, 1.0}});
  }

  auto Measure() -> Backlog {
    (void)this->shard.StartAll();
    return MeasureBacklog(this->shard.state, this->cap_waits,
                          this->shard.wall_now, this->shard.now);
  }

  ShardFixture shard;
  CapWaits cap_waits;
};

TEST_CASE("There is no backlog while there is room", "[jobs]") {
  BacklogFixture fixture;
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  fixture.shard.AddJob("a", ShardFixture::Step(8, 1000), kOrg);
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  // One task finds no worker, but half of the cores are free.
  fixture.shard.AddJob("b", ShardFixture::Step(1, 9000), kOrg);
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
}

TEST_CASE("The wait is the waiting work divided by the workers' rate",
          "[jobs]") {
  BacklogFixture fixture;
  // 16 of 48 tasks of a second on one core start at once.
  fixture.shard.AddJob("a", ShardFixture::Step(48, 1000), kOrg);
  const Backlog backlog = fixture.Measure();
  CHECK(LongestWait(backlog) == WorkTime(2000));
  CHECK(backlog.pool.size() == 1);
  CHECK(backlog.over_share.empty());
}

TEST_CASE("Cores of long-running tasks complete no work", "[jobs]") {
  BacklogFixture fixture;
  JobStep serving = ShardFixture::Step(2, 4000);
  serving.long_running = true;
  fixture.shard.AddJob("a", serving, kOrg);
  (void)fixture.shard.StartAll();
  fixture.shard.AddJob("b", ShardFixture::Step(24, 1000), kOrg);
  CHECK(LongestWait(fixture.Measure()) == WorkTime(2000));
}

TEST_CASE("Work that is of no use any more is not ahead of a new job",
          "[jobs]") {
  // Guards against refusals for work that the order puts last.
  BacklogFixture fixture;
  fixture.shard.AddJob("a", ShardFixture::Step(48, 1000), kOrg);
  REQUIRE(LongestWait(fixture.Measure()) > WorkTime(0));
  fixture.shard.wall_now += std::chrono::seconds(60);
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
}

TEST_CASE("A new owner that knows few workers yet gives no estimate",
          "[jobs]") {
  // Guards against refusals after a change of owner: the workers become usable
  // one after another, and work seems to complete slowly.
  BacklogFixture fixture(4);
  for (const char* worker : {"w1", "w2", "w3"}) {
    fixture.shard.Worker(worker).confirmed = false;
  }
  fixture.shard.AddJob("a", ShardFixture::Step(48, 1000), kOrg);
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  fixture.shard.Worker("w1").confirmed = true;
  CHECK(LongestWait(fixture.Measure()) > WorkTime(0));
}

TEST_CASE("An organisation over its share waits behind the others", "[jobs]") {
  BacklogFixture fixture;
  for (int job = 0; job < 4; ++job) {
    fixture.shard.AddJob("a" + std::to_string(job),
                         ShardFixture::Step(32, 1000), kOrg);
    AddStartedWork(fixture.shard.state.shares, kOrg, 16000, milliseconds(2000),
                   fixture.shard.now);
  }
  fixture.shard.AddJob("b", ShardFixture::Step(32, 1000), kOther);
  const Backlog backlog = fixture.Measure();
  REQUIRE(backlog.over_share.size() == 1);
  // Its own eight seconds of work at half of the rate.
  CHECK(backlog.over_share.at(kOrg) == WorkTime(16000));
  const PriorityBacklog& work = backlog.pool.begin()->second;
  // 16 of the 32 tasks of the other organisation start at once.
  CHECK(work.within_share.in_time.at(2) + work.within_share.in_time.at(3) ==
        WorkTime(1000));
  // Its work completes on the cores that the other one leaves.
  const double left = 16000.0 - StartedMillicores(fixture.shard.state.shares,
                                                  {kOrg}, fixture.shard.now);
  CHECK(left < 16000.0);
  CHECK(LongestWait(backlog).count() ==
        Approx(1000.0 + 8000.0 * 16000.0 / left).margin(1.0));
}

TEST_CASE("An organisation at its cap waits for its own limit", "[jobs]") {
  BacklogFixture fixture;
  OrganisationQuota& quota = fixture.shard.state.quota;
  quota.caps[kOrg] = TaskSize{100000, 0, 0};
  QuotaGrant grant;
  grant.number = 1;
  grant.limits[kOrg] = {2000, kNoLimit, kNoLimit};
  REQUIRE(FollowGrant(quota, grant));
  fixture.shard.AddJob("a", ShardFixture::Step(12, 1000), kOrg);
  // Guards against refusals at the begin of a load peak, while the shard's
  // limit is about to be raised.
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  fixture.shard.Advance(milliseconds(500));
  CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  SECTION("that stays as it is") {
    fixture.shard.Advance(milliseconds(500));
    const Backlog backlog = fixture.Measure();
    // 10 tasks wait, two run at a time.
    CHECK(LongestWait(backlog) == WorkTime(5000));
    CHECK(backlog.pool.empty());
    CHECK(backlog.capped.contains(kOrg));
  }
  SECTION("that has just been raised") {
    grant.number = 2;
    grant.limits[kOrg] = {4000, kNoLimit, kNoLimit};
    REQUIRE(FollowGrant(quota, grant));
    fixture.shard.Advance(milliseconds(500));
    CHECK(LongestWait(fixture.Measure()) == WorkTime(0));
  }
}

TEST_CASE("Without organisations no backlog is measured", "[jobs]") {
  ShardFixture shard(2);
  CapWaits cap_waits;
  shard.AddJob("a", ShardFixture::Step(480, 1000));
  (void)shard.StartAll();
  CHECK(LongestWait(MeasureBacklog(shard.state, cap_waits, shard.wall_now,
                                   shard.now)) == WorkTime(0));
}

}  // namespace
}  // namespace fireflythread::test
