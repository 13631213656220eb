#include "fireflythread/config_check/configuration_differences.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflythread {
namespace {

/// Indices of entries by their identity. Of equal ones the first counts, as for
/// requests.
using RouteKey = std::pair<std::string_view, std::string_view>;
using RouteIndex = std::map<RouteKey, std::size_t>;
using NameIndex = std::map<std::string_view, std::size_t>;

/// Marks the place of what only the version in force has.
constexpr std::string_view kAgainstPrefix = "against:";

/// Maximum number of fingerprints in one reason.
constexpr std::size_t kMaxFingerprints = 100;

auto AddDifference(Findings& findings, std::string place, std::string reason)
    -> void {
  AddFinding(findings, Severity::kDifference, std::move(place),
             std::move(reason));
}

auto InAgainst(const std::string& place) -> std::string {
  return std::string(kAgainstPrefix) + place;
}

auto IndexRoutes(const std::vector<Queue>& queues) -> RouteIndex {
  RouteIndex index;
  for (std::size_t i = 0; i < queues.size(); ++i) {
    index.emplace(RouteKey(queues[i].host, queues[i].path_prefix), i);
  }
  return index;
}

template <typename Named>
auto IndexNames(const std::vector<Named>& list) -> NameIndex {
  NameIndex index;
  for (std::size_t i = 0; i < list.size(); ++i) {
    index.emplace(list[i].name.value, i);
  }
  return index;
}

auto RouteText(const Queue& queue) -> std::string {
  return fmt::format("{} ({})", Quote(queue.name.value),
                     Quote(queue.host + queue.path_prefix));
}

/// Adds a difference if a number or a text changed.
template <typename Value>
auto CompareField(std::string_view field,
                  const std::string& entry,
                  const std::string& place,
                  const Value& before,
                  const Value& after,
                  Findings& findings) -> void {
  if (before != after) {
    AddDifference(findings, fmt::format("{}.{}", place, field),
                  fmt::format("{}: {} changes from {} to {}", entry, field,
                              before, after));
  }
}

auto CompareRoute(const Queue& before,
                  const Queue& after,
                  const std::string& place,
                  Findings& findings) -> void {
  const std::string text = fmt::format("route {}", RouteText(after));
  if (before.name != after.name) {
    AddDifference(
        findings, place + ".name",
        fmt::format("{} is renamed from {}", text, Quote(before.name.value)));
  }
  if (before.service != after.service) {
    AddDifference(
        findings, place + ".service",
        fmt::format("{} moves from the service {} to {}", text,
                    Quote(before.service.value), Quote(after.service.value)));
  }
  CompareField("priority", text, place, before.terms.priority,
               after.terms.priority, findings);
  CompareField("max_attempts", text, place, before.terms.max_attempts,
               after.terms.max_attempts, findings);
  CompareField("stretch", text, place, before.terms.stretch,
               after.terms.stretch, findings);
  CompareField("latency_slo_ms", text, place,
               before.terms.latency_objective.count(),
               after.terms.latency_objective.count(), findings);
  if (before.is_public != after.is_public) {
    AddDifference(
        findings, place + ".public",
        fmt::format("{} {}", text,
                    after.is_public ? "becomes public: callers need no key"
                                    : "is no longer public"));
  }
  if (before.needs_advice != after.needs_advice) {
    AddDifference(findings, place + ".advice",
                  fmt::format("{} {} placement advice", text,
                              after.needs_advice ? "now asks for"
                                                 : "no longer asks for"));
  }
}

auto CompareRoutes(const CheckedConfiguration& before,
                   const CheckedConfiguration& after,
                   Findings& findings) -> void {
  const auto& old_queues = before.configuration.queues;
  const auto& new_queues = after.configuration.queues;
  const RouteIndex old_index = IndexRoutes(old_queues);
  const RouteIndex new_index = IndexRoutes(new_queues);
  for (const auto& [key, i] : new_index) {
    const auto old = old_index.find(key);
    if (old == old_index.end()) {
      AddDifference(findings, after.places.queues.at(i),
                    fmt::format("route {} is added", RouteText(new_queues[i])));
    } else {
      CompareRoute(old_queues[old->second], new_queues[i],
                   after.places.queues.at(i), findings);
    }
  }
  for (const auto& [key, i] : old_index) {
    if (!new_index.contains(key)) {
      AddDifference(
          findings, InAgainst(before.places.queues.at(i)),
          fmt::format("route {} is removed", RouteText(old_queues[i])));
    }
  }
}

auto CompareServices(const CheckedConfiguration& before,
                     const CheckedConfiguration& after,
                     Findings& findings) -> void {
  const auto& old_services = before.configuration.services;
  const auto& new_services = after.configuration.services;
  const NameIndex old_index = IndexNames(old_services);
  const NameIndex new_index = IndexNames(new_services);
  for (const auto& [name, i] : new_index) {
    const std::string text = fmt::format("service {}", Quote(name));
    const std::string& place = after.places.services.at(i);
    const auto old = old_index.find(name);
    if (old == old_index.end()) {
      AddDifference(findings, place, text + " is added");
      continue;
    }
    CompareField("spare", text, place, old_services[old->second].spare,
                 new_services[i].spare, findings);
    CompareField("rejects_overload", text, place,
                 old_services[old->second].guards_capacity,
                 new_services[i].guards_capacity, findings);
  }
  for (const auto& [name, i] : old_index) {
    if (!new_index.contains(name)) {
      AddDifference(findings, InAgainst(before.places.services.at(i)),
                    fmt::format("service {} is removed", Quote(name)));
    }
  }
}

/// Adds how many of the keys in `keys` are not in `others`, by fingerprint.
auto CompareKeys(const std::string& text,
                 const std::string& place,
                 const std::vector<std::string>& keys,
                 const std::vector<std::string>& others,
                 std::string_view change,
                 const KeyFingerprint& fingerprint,
                 Findings& findings) -> void {
  const std::set<std::string_view> known(others.begin(), others.end());
  const std::set<std::string> distinct(keys.begin(), keys.end());
  std::size_t count = 0;
  std::string fingerprints;
  for (const std::string& key : distinct) {
    if (known.contains(key)) {
      continue;
    }
    ++count;
    if (count <= kMaxFingerprints) {
      fingerprints += (count == 1 ? "" : ", ") + fingerprint(key);
    }
  }
  if (count == 0) {
    return;
  }
  AddDifference(
      findings, place + ".api_keys",
      fmt::format("{}: {} {} {} (SHA-256 {}{})", text, count,
                  count == 1 ? "key is" : "keys are", change, fingerprints,
                  count > kMaxFingerprints ? ", ..." : ""));
}

/// Returns a cap's limit for a reason. 0 means that there is none.
auto LimitText(std::int64_t limit) -> std::string {
  return limit == 0 ? std::string("no limit") : std::to_string(limit);
}

auto CompareCap(std::string_view resource,
                const std::string& text,
                const std::string& place,
                std::int64_t before,
                std::int64_t after,
                Findings& findings) -> void {
  if (before == after) {
    return;
  }
  const bool raised = after == 0 || (before != 0 && after > before);
  AddDifference(findings, fmt::format("{}.cap.{}", place, resource),
                fmt::format("{}: the cap of {} is {} from {} to {}", text,
                            resource, raised ? "raised" : "lowered",
                            LimitText(before), LimitText(after)));
}

auto CompareOrganisation(const Organisation& before,
                         const Organisation& after,
                         const std::string& place,
                         const KeyFingerprint& fingerprint,
                         Findings& findings) -> void {
  const std::string text =
      fmt::format("organisation {}", Quote(after.name.value));
  CompareKeys(text, place, after.api_keys, before.api_keys, "added",
              fingerprint, findings);
  CompareKeys(text, place, before.api_keys, after.api_keys, "withdrawn",
              fingerprint, findings);
  if (before.weight != after.weight) {
    AddDifference(
        findings, place + ".weight",
        fmt::format("{}: the weight is {} from {} to {}", text,
                    after.weight > before.weight ? "raised" : "lowered",
                    before.weight, after.weight));
  }
  CompareCap("cpu", text, place, before.cap.millicores, after.cap.millicores,
             findings);
  CompareCap("mem_mb", text, place, before.cap.memory_mb, after.cap.memory_mb,
             findings);
  CompareCap("gpu", text, place, before.cap.accelerators,
             after.cap.accelerators, findings);
}

auto CompareOrganisations(const CheckedConfiguration& before,
                          const CheckedConfiguration& after,
                          const KeyFingerprint& fingerprint,
                          Findings& findings) -> void {
  if (before.configuration.requires_keys != after.configuration.requires_keys) {
    AddDifference(findings, "$.tenants",
                  after.configuration.requires_keys
                      ? "callers of routes that are not public now need a key"
                      : "callers need no key any more");
  }
  const auto& old_list = before.configuration.organisations;
  const auto& new_list = after.configuration.organisations;
  const NameIndex old_index = IndexNames(old_list);
  const NameIndex new_index = IndexNames(new_list);
  const std::vector<std::string> no_keys;
  for (const auto& [name, i] : new_index) {
    const std::string& place = after.places.organisations.at(i);
    const std::string text = fmt::format("organisation {}", Quote(name));
    const auto old = old_index.find(name);
    if (old == old_index.end()) {
      AddDifference(findings, place, text + " is added");
      CompareKeys(text, place, new_list[i].api_keys, no_keys, "added",
                  fingerprint, findings);
    } else {
      CompareOrganisation(old_list[old->second], new_list[i], place,
                          fingerprint, findings);
    }
  }
  for (const auto& [name, i] : old_index) {
    if (new_index.contains(name)) {
      continue;
    }
    const std::string place = InAgainst(before.places.organisations.at(i));
    const std::string text = fmt::format("organisation {}", Quote(name));
    AddDifference(findings, place, text + " is removed");
    CompareKeys(text, place, old_list[i].api_keys, no_keys, "withdrawn",
                fingerprint, findings);
  }
}

}  // namespace

auto FindDifferences(const CheckedConfiguration& before,
                     const CheckedConfiguration& after,
                     const KeyFingerprint& fingerprint,
                     Findings& findings) -> void {
  if (after.configuration.version <= before.configuration.version) {
    AddFinding(
        findings, Severity::kError, "$.version",
        fmt::format("the version {} is not above the one in force, {}: "
                    "entries ignore it",
                    after.configuration.version, before.configuration.version));
  }
  CompareRoutes(before, after, findings);
  CompareServices(before, after, findings);
  CompareOrganisations(before, after, fingerprint, findings);
}

}  // namespace fireflythread
