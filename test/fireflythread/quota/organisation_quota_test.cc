#include "fireflythread/jobs/organisation_quota.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

const OrganisationName kNorth("north");

/// Sets a cap and a grant of this many millicores; number 0 for no grant.
auto SetGrant(ShardFixture& shard, std::uint64_t number, std::int64_t cores)
    -> void {
  Organisation north;
  north.name = kNorth;
  north.cap = {100'000, 0, 0};
  SetCaps(shard.state.quota, {north});
  QuotaGrant grant;
  grant.number = number;
  grant.limits[kNorth] = {cores, 1'000'000, 1'000'000};
  FollowGrant(shard.state.quota, grant);
}

TEST_CASE("Tasks of an organisation start within its grant", "[quota]") {
  // Guards against an organisation that has more running over all workers than
  // its cap, and against other organisations that wait for it.
  ShardFixture shard(4);
  SetGrant(shard, 1, 3'000);
  shard.AddJob("a", ShardFixture::Step(5, 1'000), kNorth);
  shard.AddJob("b", ShardFixture::Step(2, 1'000), OrganisationName("south"));
  CHECK(shard.StartAll().size() == 5);
  CHECK(shard.state.quota.blocked.contains(kNorth));
  CHECK(shard.StartAll().empty());
  SetGrant(shard, 2, 5'000);
  CHECK(shard.StartAll().size() == 2);
  CHECK(shard.state.quota.blocked.empty());
}

TEST_CASE("Nothing of an organisation with a cap starts without a grant",
          "[quota]") {
  // Guards against a new owner that starts tasks before it knows its part.
  ShardFixture shard(4);
  SetGrant(shard, 0, 0);
  shard.AddJob("a", ShardFixture::Step(1, 1'000), kNorth);
  CHECK(shard.StartAll().empty());
  SetGrant(shard, 1, 1'000);
  CHECK(shard.StartAll().size() == 1);
}

TEST_CASE("A grant that is lowered or older stops no run", "[quota]") {
  ShardFixture shard(4);
  SetGrant(shard, 2, 3'000);
  shard.AddJob("a", ShardFixture::Step(4, 1'000), kNorth);
  CHECK(shard.StartAll().size() == 3);
  SetGrant(shard, 1, 9'000);
  CHECK(shard.StartAll().empty());
  SetGrant(shard, 3, 1'000);
  CHECK(shard.state.stopping.empty());
  const QuotaUsage usage =
      MeasureQuotaUsage(shard.state, shard.wall_now, shard.now);
  CHECK(usage.grant_number == 3);
  CHECK(usage.organisations.at(kNorth).held.millicores == 3'000);
  CHECK(usage.organisations.at(kNorth).waiting.millicores == 1'000);
  CHECK(usage.organisations.at(kNorth).largest.millicores == 1'000);
  CHECK(DecodeQuotaUsage(EncodeQuotaUsage(usage)) == usage);
}

TEST_CASE("A gang waits until its whole need fits into the grant", "[quota]") {
  // Guards against members that hold room and wait for others.
  ShardFixture shard(4);
  SetGrant(shard, 1, 3'000);
  JobStep gang = ShardFixture::Step(4, 1'000);
  gang.gang = true;
  shard.AddJob("a", gang, kNorth);
  CHECK(shard.StartAll().empty());
  const QuotaUsage usage =
      MeasureQuotaUsage(shard.state, shard.wall_now, shard.now);
  CHECK(usage.organisations.at(kNorth).largest.millicores == 4'000);
  SetGrant(shard, 2, 4'000);
  CHECK(shard.StartAll().size() == 4);
}

TEST_CASE("Work that can never run asks for nothing of the cap", "[quota]") {
  // Guards against one job of an impossible size that takes the cap from the
  // other jobs of its organisation, in this shard or in others.
  ShardFixture shard(4);
  SetGrant(shard, 1, 3'000);
  shard.AddJob("a", ShardFixture::Step(1, 9'000), kNorth);
  JobStep gang = ShardFixture::Step(200, 1'000);
  gang.gang = true;
  shard.AddJob("b", gang, kNorth);
  QuotaUsage usage = MeasureQuotaUsage(shard.state, shard.wall_now, shard.now);
  CHECK(usage.organisations.empty());
  shard.AddJob("c", ShardFixture::Step(500, 1'000), kNorth);
  usage = MeasureQuotaUsage(shard.state, shard.wall_now, shard.now);
  // Four workers of 8 cores.
  CHECK(usage.organisations.at(kNorth).waiting.millicores == 32'000);
}

TEST_CASE("Grants and usages survive their rows", "[quota]") {
  QuotaGrant grant;
  grant.number = 7;
  grant.limits[kNorth] = {1, 2, 3};
  grant.bounds[kNorth] = {4, 5, 6};
  CHECK(DecodeQuotaGrant(EncodeQuotaGrant(grant)) == grant);
  for (const char* text : {"", "null", "[]", "{}", R"({"number":-1})",
                           R"({"number":1,"organisations":{"a":[1]}})"}) {
    INFO(text);
    CHECK_FALSE(DecodeQuotaGrant(text).has_value());
    CHECK_FALSE(DecodeQuotaUsage(text).has_value());
  }
}

}  // namespace
}  // namespace fireflythread::test
