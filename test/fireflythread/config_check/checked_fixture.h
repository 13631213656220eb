#ifndef TEST_FIREFLYTHREAD_CONFIG_CHECK_CHECKED_FIXTURE_H_
#define TEST_FIREFLYTHREAD_CONFIG_CHECK_CHECKED_FIXTURE_H_

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/config_check/configuration_report.h"

namespace fireflythread::test {

/// Returns a route to the service "desk".
inline auto MakeRoute(const char* name, const char* path) -> Queue {
  Queue queue;
  queue.name = QueueName(name);
  queue.host = "h";
  queue.path_prefix = path;
  queue.service = ServiceName("desk");
  return queue;
}

inline auto MakeOrganisation(const char* name, std::vector<std::string> keys)
    -> Organisation {
  Organisation organisation;
  organisation.name = OrganisationName(name);
  organisation.api_keys = std::move(keys);
  return organisation;
}

/// Returns a configuration without faults: two services, one of them the spare
/// one, a route and an organisation.
inline auto MakeConfiguration(std::uint64_t version) -> Configuration {
  Configuration configuration;
  configuration.version = version;
  configuration.queues = {MakeRoute("a", "/a")};
  configuration.services = {{ServiceName("desk")}, {ServiceName("off"), true}};
  configuration.requires_keys = true;
  configuration.organisations = {MakeOrganisation("north", {"key-1"})};
  return configuration;
}

/// Returns a configuration with the places that a decoder gives it.
inline auto Checked(Configuration configuration) -> CheckedConfiguration {
  CheckedConfiguration checked;
  for (std::size_t i = 0; i < configuration.queues.size(); ++i) {
    checked.places.queues.push_back(fmt::format("$.routes[{}]", i));
  }
  for (std::size_t i = 0; i < configuration.services.size(); ++i) {
    checked.places.services.push_back(fmt::format("$.services[{}]", i));
  }
  for (std::size_t i = 0; i < configuration.organisations.size(); ++i) {
    checked.places.organisations.push_back(fmt::format("$.tenants[{}]", i));
  }
  checked.configuration = std::move(configuration);
  return checked;
}

/// Returns each finding's severity and place, as "error PLACE", sorted.
inline auto PlacesOf(const Findings& findings) -> std::vector<std::string> {
  std::vector<std::string> places;
  for (const Finding& finding : findings.list) {
    const char* name = finding.severity == Severity::kError     ? "error"
                       : finding.severity == Severity::kWarning ? "warning"
                                                                : "difference";
    places.push_back(fmt::format("{} {}", name, finding.place));
  }
  std::sort(places.begin(), places.end());
  return places;
}

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_CONFIG_CHECK_CHECKED_FIXTURE_H_
