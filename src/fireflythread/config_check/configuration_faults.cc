#include "fireflythread/config_check/configuration_faults.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace fireflythread {
namespace {

/// A cap below this many millicores holds only tiny tasks. It is probably a
/// number of cores.
constexpr std::int64_t kMinCapMillicores = 1000;

auto AddError(Findings& findings, std::string place, std::string reason)
    -> void {
  AddFinding(findings, Severity::kError, std::move(place), std::move(reason));
}

auto AddWarning(Findings& findings, std::string place, std::string reason)
    -> void {
  AddFinding(findings, Severity::kWarning, std::move(place), std::move(reason));
}

/// Adds what is wrong with a route's host and path prefix.
auto FindMatchFaults(const Queue& queue,
                     const std::string& place,
                     Findings& findings) -> void {
  if (queue.host.empty()) {
    AddError(findings, place + ".host",
             "the route has no host: no request matches it");
  }
  if (queue.path_prefix.empty()) {
    AddWarning(findings, place + ".path_prefix",
               "the route has no path prefix: it takes every path of its host "
               "that no other route takes");
  } else if (queue.path_prefix.front() != '/') {
    AddError(findings, place + ".path_prefix",
             fmt::format("the path prefix {} does not begin with \"/\": no "
                         "request matches it",
                         Quote(queue.path_prefix)));
  }
}

auto FindTermsFaults(const QueueTerms& terms,
                     const std::string& place,
                     Findings& findings) -> void {
  if (terms.max_attempts < 1) {
    AddWarning(findings, place + ".max_attempts",
               fmt::format("max_attempts is {}: it should be at least 1",
                           terms.max_attempts));
  }
  if (terms.stretch < 1.0) {
    AddWarning(findings, place + ".stretch",
               fmt::format("stretch is {}: the objective is shorter than the "
                           "work itself",
                           terms.stretch));
  }
}

auto FindServiceFault(
    const Queue& queue,
    const std::unordered_map<std::string_view, bool>& services,
    const std::string& place,
    Findings& findings) -> void {
  const std::string& name = queue.service.value;
  const auto service = services.find(name);
  if (name.empty()) {
    AddError(findings, place + ".service",
             "the route has no service: its jobs never run");
  } else if (service == services.end()) {
    AddError(findings, place + ".service",
             fmt::format("the service {} does not exist: the route's jobs "
                         "never run",
                         Quote(name)));
  } else if (service->second) {
    AddError(findings, place + ".service",
             fmt::format("the service {} is the spare service, whose VMs are "
                         "off: the route's jobs never run",
                         Quote(name)));
  }
}

auto FindRouteFaults(const CheckedConfiguration& checked, Findings& findings)
    -> void {
  std::unordered_map<std::string_view, bool> services;
  for (const PoolService& service : checked.configuration.services) {
    services.emplace(service.name.value, service.spare);
  }
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> routes;
  for (std::size_t i = 0; i < checked.configuration.queues.size(); ++i) {
    const Queue& queue = checked.configuration.queues[i];
    const std::string& place = checked.places.queues.at(i);
    FindMatchFaults(queue, place, findings);
    FindServiceFault(queue, services, place, findings);
    FindTermsFaults(queue.terms, place, findings);
    const auto [first, added] =
        routes.emplace(std::pair(std::string_view(queue.host),
                                 std::string_view(queue.path_prefix)),
                       i);
    if (!added) {
      AddError(findings, place,
               fmt::format("the route has the host and the path prefix of {}, "
                           "which shadows it: no request matches it",
                           checked.places.queues.at(first->second)));
    }
  }
}

auto FindServiceFaults(const CheckedConfiguration& checked, Findings& findings)
    -> void {
  std::unordered_set<std::string_view> used;
  for (const Queue& queue : checked.configuration.queues) {
    used.insert(queue.service.value);
  }
  std::unordered_set<std::string_view> seen;
  for (std::size_t i = 0; i < checked.configuration.services.size(); ++i) {
    const PoolService& service = checked.configuration.services[i];
    const std::string& place = checked.places.services.at(i);
    const std::string& name = service.name.value;
    if (name.empty()) {
      AddError(findings, place + ".name",
               "the service has no name: no route can use it");
    } else if (!seen.insert(name).second) {
      AddWarning(
          findings, place + ".name",
          fmt::format("an earlier service is named {} too", Quote(name)));
    } else if (!service.spare && !used.contains(name)) {
      AddWarning(findings, place,
                 fmt::format("no route uses the service {}", Quote(name)));
    }
  }
}

/// The organisation that holds a key, by its index, and the other ones for
/// which this was reported.
using KeyHolders = std::unordered_map<std::string_view, std::size_t>;

/// Adds what is wrong with the keys of the organisation at `index`.
auto FindKeyFaults(const CheckedConfiguration& checked,
                   std::size_t index,
                   KeyHolders& holders,
                   Findings& findings) -> void {
  const auto& organisations = checked.configuration.organisations;
  const Organisation& organisation = organisations[index];
  const std::string place = checked.places.organisations.at(index);
  if (organisation.api_keys.empty()) {
    AddWarning(findings, place + ".api_keys",
               fmt::format("the organisation {} has no keys: its callers are "
                           "rejected",
                           Quote(organisation.name.value)));
  }
  std::size_t repeated = 0;
  std::map<std::size_t, std::size_t> shared;
  for (const std::string& key : organisation.api_keys) {
    const auto [holder, added] = holders.emplace(key, index);
    if (added) {
      continue;
    }
    // The index first: names may be long, and there may be many such keys.
    if (holder->second == index ||
        organisations[holder->second].name == organisation.name) {
      ++repeated;
    } else {
      ++shared[holder->second];
    }
  }
  if (repeated > 0) {
    AddWarning(findings, place + ".api_keys",
               fmt::format("{} of the organisation's keys appear more than "
                           "once",
                           repeated));
  }
  for (const auto& [other, count] : shared) {
    AddError(findings, place + ".api_keys",
             fmt::format("{} of the keys of {} belong to {} ({}), which comes "
                         "first: their callers are taken for the latter's",
                         count, Quote(organisation.name.value),
                         Quote(organisations[other].name.value),
                         checked.places.organisations.at(other)));
  }
}

auto FindOrganisationFaults(const CheckedConfiguration& checked,
                            Findings& findings) -> void {
  KeyHolders holders;
  std::unordered_set<std::string_view> seen;
  const auto& organisations = checked.configuration.organisations;
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    const Organisation& organisation = organisations[i];
    const std::string& place = checked.places.organisations.at(i);
    if (!seen.insert(organisation.name.value).second) {
      AddWarning(findings, place + ".name",
                 fmt::format("an earlier organisation is named {} too",
                             Quote(organisation.name.value)));
    }
    FindKeyFaults(checked, i, holders, findings);
    if (organisation.weight == 0.0) {
      AddWarning(findings, place + ".weight",
                 "the weight is 0: the organisation has no share while "
                 "capacity is short");
    }
    // The other resources are whole MB and accelerators, of which the smallest
    // limit is 1.
    const std::int64_t millicores = organisation.cap.millicores;
    if (millicores > 0 && millicores < kMinCapMillicores) {
      AddWarning(findings, place + ".cap.cpu",
                 fmt::format("the cap is {} thousandths of a core, less than "
                             "one core",
                             millicores));
    }
  }
}

auto FindLimitFaults(const RequestLimits& limits, Findings& findings) -> void {
  if (limits.max_header_bytes == 0) {
    AddWarning(findings, "$.limits.max_header_bytes",
               "max_header_bytes is 0: no request is within the limit");
  }
  if (limits.max_body_bytes == 0) {
    AddWarning(findings, "$.limits.max_body_bytes",
               "max_body_bytes is 0: no job is within the limit");
  }
  if (limits.header_timeout_ms && limits.idle_timeout_ms &&
      *limits.header_timeout_ms > *limits.idle_timeout_ms) {
    AddWarning(findings, "$.limits.header_timeout_ms",
               fmt::format("header_timeout_ms ({}) is above idle_timeout_ms "
                           "({})",
                           *limits.header_timeout_ms, *limits.idle_timeout_ms));
  }
}

}  // namespace

auto FindFaults(const CheckedConfiguration& checked, Findings& findings)
    -> void {
  FindRouteFaults(checked, findings);
  FindServiceFaults(checked, findings);
  FindOrganisationFaults(checked, findings);
  FindLimitFaults(checked.limits, findings);
}

}  // namespace fireflythread
