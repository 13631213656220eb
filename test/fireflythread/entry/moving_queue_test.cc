#include <catch2/catch.hpp>

#include "fireflythread/entry/job_submitter.h"
#include "test/fireflythread/entry/queue_entry.h"

namespace fireflythread::test {
namespace {

TEST_CASE("A job is stored once while its queue moves twice", "[jobs]") {
  // Guards against a job that two services run: it was accepted for a service
  // that the queue left before its row named it.
  QueueSite site;
  site.first.Configure(2, "planner");
  site.second.Configure(2, "planner");
  CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
  site.first.Configure(3, "fittings");
  site.second.Configure(3, "fittings");
  site.RunUntilAssigned("fittings");
  CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 1);
}

TEST_CASE("A job is stored once by an entry that missed its queue's move",
          "[jobs]") {
  // Guards against an entry that was frozen while the queue moved and stores a
  // repeated submission in the queue's former shard.
  QueueSite site;
  site.first.Configure(2, "planner");
  site.RunUntilAssigned("planner");
  REQUIRE(site.first.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 1);
  SECTION("and moved back") {
    site.first.Configure(3, "desk");
    site.RunUntilAssigned("desk");
    CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
    CHECK(site.CountStored("a") == 1);
  }
}

TEST_CASE("A job is stored once although its queue gets another name",
          "[jobs]") {
  // Guards against a job that two services run: a configuration replaced its
  // queue by one of another name at the same address.
  QueueSite site;
  REQUIRE(site.first.Submit("a") == JobRequestOutcome::kStored);
  SECTION("and another service") {
    site.first.Configure(2, "planner", "quotes-2");
    site.RunUntilAssigned("planner");
  }
  SECTION("twice, and moves twice") {
    site.first.Configure(2, "planner", "quotes-2");
    site.RunUntilAssigned("planner");
    site.first.Configure(3, "fittings", "quotes-3");
    site.RunUntilAssigned("fittings");
  }
  SECTION("after a configuration without the queue") {
    site.first.assignments.SetConfiguration(Configuration{2, {}, {}});
    site.first.Configure(3, "planner", "quotes-2");
    site.RunUntilAssigned("planner");
  }
  CHECK(site.first.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.second.Submit("a") == JobRequestOutcome::kStored);
  CHECK(site.CountStored("a") == 1);
}

}  // namespace
}  // namespace fireflythread::test
