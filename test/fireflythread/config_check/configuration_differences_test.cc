#include "fireflythread/config_check/configuration_differences.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/config_check/checked_fixture.h"

namespace fireflythread::test {
namespace {

using Places = std::vector<std::string>;

auto Compare(const Configuration& before, const Configuration& after)
    -> Findings {
  Findings findings;
  FindDifferences(
      Checked(before), Checked(after),
      [](const std::string& key) { return "#" + key.substr(4); }, findings);
  return findings;
}

TEST_CASE("A version that does not rise is an error", "[config_check]") {
  // Guards against a change that entries ignore.
  CHECK(PlacesOf(Compare(MakeConfiguration(2), MakeConfiguration(3))).empty());
  for (const std::uint64_t version : {2U, 1U, 0U}) {
    CHECK(PlacesOf(Compare(MakeConfiguration(2), MakeConfiguration(version))) ==
          Places{"error $.version"});
  }
}

TEST_CASE("Changes of routes are differences", "[config_check]") {
  // Guards against a route that callers lose or find changed unannounced.
  const Configuration before = MakeConfiguration(1);
  Configuration after = MakeConfiguration(2);
  Queue& queue = after.queues.at(0);
  queue.name = QueueName("renamed");
  queue.service = ServiceName("counter");
  queue.terms = {1, 2, 3.0, std::chrono::milliseconds(4)};
  queue.is_public = true;
  after.queues.push_back(MakeRoute("b", "/b"));
  CHECK(PlacesOf(Compare(before, after)) ==
        Places{"difference $.routes[0].latency_slo_ms",
               "difference $.routes[0].max_attempts",
               "difference $.routes[0].name", "difference $.routes[0].priority",
               "difference $.routes[0].public",
               "difference $.routes[0].service",
               "difference $.routes[0].stretch", "difference $.routes[1]"});
  after = MakeConfiguration(2);
  after.queues.at(0).path_prefix = "/c";
  CHECK(PlacesOf(Compare(before, after)) ==
        Places{"difference $.routes[0]", "difference against:$.routes[0]"});
}

TEST_CASE("The order of routes makes no difference", "[config_check]") {
  Configuration before = MakeConfiguration(1);
  before.queues.push_back(MakeRoute("b", "/b"));
  Configuration after = before;
  after.version = 2;
  std::swap(after.queues.at(0), after.queues.at(1));
  CHECK(PlacesOf(Compare(before, after)).empty());
}

TEST_CASE("Changes of services are differences", "[config_check]") {
  const Configuration before = MakeConfiguration(1);
  Configuration after = MakeConfiguration(2);
  after.services = {{ServiceName("desk"), true, true}, {ServiceName("new")}};
  CHECK(PlacesOf(Compare(before, after)) ==
        Places{"difference $.services[0].rejects_overload",
               "difference $.services[0].spare", "difference $.services[1]",
               "difference against:$.services[1]"});
}

TEST_CASE("Added and withdrawn keys are told by number and fingerprint",
          "[config_check]") {
  // Guards against an operator who withdraws another key than meant, and
  // against keys in the output.
  Configuration before = MakeConfiguration(1);
  before.organisations.at(0).api_keys = {"key-1", "key-2", "key-2", "key-3"};
  Configuration after = MakeConfiguration(2);
  after.organisations.at(0).api_keys = {"key-4", "key-1"};
  const Findings findings = Compare(before, after);
  REQUIRE(findings.list.size() == 2);
  CHECK(findings.list[0].place == "$.tenants[0].api_keys");
  CHECK(findings.list[0].reason ==
        "organisation \"north\": 1 key is added (SHA-256 #4)");
  CHECK(findings.list[1].reason ==
        "organisation \"north\": 2 keys are withdrawn (SHA-256 #2, #3)");
}

TEST_CASE("Changes of organisations are differences", "[config_check]") {
  const Configuration before = MakeConfiguration(1);
  Configuration after = MakeConfiguration(2);
  after.organisations = {MakeOrganisation("south", {"key-1"})};
  CHECK(PlacesOf(Compare(before, after)) ==
        Places{"difference $.tenants[0]", "difference $.tenants[0].api_keys",
               "difference against:$.tenants[0]",
               "difference against:$.tenants[0].api_keys"});
  after.organisations.clear();
  after.requires_keys = false;
  CHECK(PlacesOf(Compare(before, after)) ==
        Places{"difference $.tenants", "difference against:$.tenants[0]",
               "difference against:$.tenants[0].api_keys"});
}

TEST_CASE("A weight or a cap is raised or lowered", "[config_check]") {
  // Guards against a cap of 0, which means no limit, that is taken for the
  // lowest one.
  Configuration before = MakeConfiguration(1);
  before.organisations.at(0).cap = {2000, 0, 5};
  Configuration after = MakeConfiguration(2);
  after.organisations.at(0).weight = 2.0;
  after.organisations.at(0).cap = {0, 7, 4};
  const Findings findings = Compare(before, after);
  REQUIRE(findings.list.size() == 4);
  CHECK(findings.list[0].reason ==
        "organisation \"north\": the weight is raised from 1 to 2");
  CHECK(findings.list[1].reason ==
        "organisation \"north\": the cap of cpu is raised from 2000 to no "
        "limit");
  CHECK(findings.list[2].reason ==
        "organisation \"north\": the cap of mem_mb is lowered from no limit to "
        "7");
  CHECK(findings.list[3].reason ==
        "organisation \"north\": the cap of gpu is lowered from 5 to 4");
}

}  // namespace
}  // namespace fireflythread::test
