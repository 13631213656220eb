#include "fireflythread/jobs/organisation_wait.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

TEST_CASE("An operator sees what each organisation waits for", "[jobs]") {
  // Guards against a customer's question why its jobs wait that only the code
  // could answer.
  const OrganisationName capped("capped");
  const OrganisationName greedy("greedy");
  const OrganisationName patient("patient");
  ShardFixture shard(4);
  SetOrganisations(shard.state.shares,
                   {{capped, 1.0}, {greedy, 1.0}, {patient, 1.0}});
  Organisation organisation;
  organisation.name = capped;
  organisation.cap = {1'000, 0, 0};
  SetCaps(shard.state.quota, {organisation});
  QuotaGrant grant;
  grant.number = 1;
  grant.limits[capped] = {1'000, 1'000'000, 1'000'000};
  FollowGrant(shard.state.quota, grant);
  shard.AddJob("a", ShardFixture::Step(2, 1'000), capped);
  for (int job = 0; job < 3; ++job) {
    shard.AddJob("b" + std::to_string(job), ShardFixture::Step(31, 1'000),
                 greedy);
  }
  CHECK(shard.StartAll().size() == 32);
  shard.AddJob("c0", ShardFixture::Step(1, 1'000), patient);
  shard.AddJob("c1", ShardFixture::Step(1, 1'000), patient);
  CHECK(shard.StartAll().empty());
  const auto waits = FindOrganisationWaits(shard.state, shard.now);
  REQUIRE(waits.size() == 3);
  CHECK(waits[0].organisation == greedy);
  CHECK(waits[0].cause == WaitCause::kShare);
  CHECK(waits[1].organisation == patient);
  CHECK(waits[1].waiting_jobs == 2);
  CHECK(waits[1].cause == WaitCause::kRoom);
  CHECK(waits[2].organisation == capped);
  CHECK(waits[2].cause == WaitCause::kCap);
  CHECK(waits[2].held.millicores == 1'000);
  CHECK(waits[2].limit.millicores == 1'000);
  CHECK(WaitCauseName(waits[2].cause) == "cap");
}

}  // namespace
}  // namespace fireflythread::test
