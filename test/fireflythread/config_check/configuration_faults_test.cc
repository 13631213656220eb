#include "fireflythread/config_check/configuration_faults.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/config_check/checked_fixture.h"

namespace fireflythread::test {
namespace {

using Places = std::vector<std::string>;

auto FaultsOf(CheckedConfiguration checked) -> Places {
  Findings findings;
  FindFaults(checked, findings);
  return PlacesOf(findings);
}

auto FaultsOf(Configuration configuration) -> Places {
  return FaultsOf(Checked(std::move(configuration)));
}

TEST_CASE("A configuration without faults has no findings", "[config_check]") {
  // Guards against a check that operators learn to ignore.
  CHECK(FaultsOf(MakeConfiguration(1)).empty());
}

TEST_CASE("Routes that no request or no worker can use are errors",
          "[config_check]") {
  // Guards against a configuration whose callers get 404, or whose jobs are
  // accepted and never run.
  Configuration configuration = MakeConfiguration(1);
  const auto with = [&configuration](auto change) -> Places {
    Configuration changed = configuration;
    change(changed.queues.at(0));
    changed.queues.push_back(MakeRoute("b", "/b"));
    return FaultsOf(changed);
  };
  CHECK(with([](Queue& q) { q.host.clear(); }) ==
        Places{"error $.routes[0].host"});
  CHECK(with([](Queue& q) { q.path_prefix = "a"; }) ==
        Places{"error $.routes[0].path_prefix"});
  CHECK(with([](Queue& q) { q.path_prefix.clear(); }) ==
        Places{"warning $.routes[0].path_prefix"});
  CHECK(with([](Queue& q) { q.service = ServiceName(); }) ==
        Places{"error $.routes[0].service"});
  CHECK(with([](Queue& q) { q.service = ServiceName("none"); }) ==
        Places{"error $.routes[0].service"});
  CHECK(with([](Queue& q) { q.service = ServiceName("off"); }) ==
        Places{"error $.routes[0].service"});
  // Only an equal path prefix on the same host shadows a route.
  CHECK(with([](Queue& q) { q.path_prefix = "/b"; }) ==
        Places{"error $.routes[1]"});
  CHECK(with([](Queue& q) { q.path_prefix = "/b/c"; }).empty());
  CHECK(with([](Queue& q) {
          q.path_prefix = "/b";
          q.host = "other";
        }).empty());
}

TEST_CASE("Terms that jobs cannot meet are warnings", "[config_check]") {
  Configuration configuration = MakeConfiguration(1);
  configuration.queues.at(0).terms.max_attempts = 0;
  configuration.queues.at(0).terms.stretch = 0.9;
  CHECK(FaultsOf(configuration) == Places{"warning $.routes[0].max_attempts",
                                          "warning $.routes[0].stretch"});
}

TEST_CASE("Services that nothing uses are warnings", "[config_check]") {
  // Guards against VMs that are paid for and get no work.
  Configuration configuration = MakeConfiguration(1);
  configuration.services.push_back({ServiceName("idle")});
  configuration.services.push_back({ServiceName("desk")});
  configuration.services.push_back({ServiceName()});
  CHECK(FaultsOf(configuration) == Places{"error $.services[4].name",
                                          "warning $.services[2]",
                                          "warning $.services[3].name"});
}

TEST_CASE("Organisations whose callers cannot be served are found",
          "[config_check]") {
  // Guards against callers who are rejected, or taken for others.
  Configuration configuration = MakeConfiguration(1);
  configuration.organisations.push_back(
      MakeOrganisation("south", {"key-1", "key-2", "key-2"}));
  configuration.organisations.push_back(MakeOrganisation("east", {}));
  configuration.organisations.push_back(MakeOrganisation("east", {"key-3"}));
  configuration.organisations.at(0).weight = 0.0;
  CHECK(FaultsOf(configuration) ==
        Places{"error $.tenants[1].api_keys", "warning $.tenants[0].weight",
               "warning $.tenants[1].api_keys", "warning $.tenants[2].api_keys",
               "warning $.tenants[3].name"});
}

TEST_CASE("A cap below one core is a warning", "[config_check]") {
  // Guards against a number of cores where thousandths are meant. A cap of one
  // resource alone is intended.
  Configuration configuration = MakeConfiguration(1);
  TaskSize& cap = configuration.organisations.at(0).cap;
  cap = {999, 0, 0};
  CHECK(FaultsOf(configuration) == Places{"warning $.tenants[0].cap.cpu"});
  for (const TaskSize& valid :
       {TaskSize{1000, 0, 0}, TaskSize{0, 1, 0}, TaskSize{0, 0, 1}}) {
    cap = valid;
    CHECK(FaultsOf(configuration).empty());
  }
}

TEST_CASE("Limits that no request meets are warnings", "[config_check]") {
  CheckedConfiguration checked = Checked(MakeConfiguration(1));
  checked.limits = {0, 0, 5, 4};
  CHECK(FaultsOf(checked) == Places{"warning $.limits.header_timeout_ms",
                                    "warning $.limits.max_body_bytes",
                                    "warning $.limits.max_header_bytes"});
  checked.limits = {1, 1, 4, 4};
  CHECK(FaultsOf(checked).empty());
  checked.limits = {{}, {}, 5, {}};
  CHECK(FaultsOf(checked).empty());
}

}  // namespace
}  // namespace fireflythread::test
