#include "fireflythread/ctl/render_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/render_wave.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using nlohmann::json;

constexpr double kMillisecondsPerSecond = 1000;
// Lines of one part, so that the whole fits one screen of 50 lines.
constexpr std::size_t kMostPools = 12;
constexpr std::size_t kMostWaves = 4;
constexpr std::size_t kMostBlocked = 6;

auto Seconds(const json& object, const char* key) -> std::string {
  return fmt::format("{:.1f} s", Number(object, key) / kMillisecondsPerSecond);
}

auto RenderHead(const json& status) -> std::string {
  const json controller = status.value("controller", json::object());
  const bool reachable = status.value("store_reachable", json()) == json(true);
  std::string text = fmt::format(
      "configuration {}, fleet {}, store {}\n", Text(status, "config_version"),
      Text(status, "fleet_version"), reachable ? "reachable" : "UNREACHABLE");
  if (Text(controller, "holder") == "-") {
    return text + "controller: nobody is known to hold the lease\n";
  }
  return text + fmt::format(
                    "controller {}, epoch {}, lease renewed {} ago, "
                    "lasts {}\n",
                    Printable(Text(controller, "holder")),
                    Text(controller, "epoch"),
                    Seconds(controller, "since_renewal_ms"),
                    Seconds(controller, "duration_ms"));
}

auto RenderEntries(const json& entries) -> std::string {
  Table table({"ENTRY", "ZONE", "STATE", "CONFIG", "FLEET", "HEARD"});
  for (const json& entry : entries) {
    const bool is_self = entry.value("is_self", json()) == json(true);
    table.Add({Text(entry, "id") + (is_self ? "*" : ""), Text(entry, "zone"),
               entry.value("state", json()).is_null() ? "unknown"
                                                      : Text(entry, "state"),
               Text(entry, "config_version"), Text(entry, "fleet_version"),
               is_self ? "-" : Seconds(entry, "last_heard_ms") + " ago"});
  }
  return table.Render();
}

// A pool without demand, or without a report of the controller, needs no VM.
auto HeadroomText(const json& pool) -> std::string {
  return Number(pool, "needed") > 0
             ? fmt::format("{:.0f}%", Number(pool, "headroom") * 100)
             : "-";
}

auto RenderPools(const json& pools) -> std::string {
  std::vector<json> sorted(pools.begin(), pools.end());
  // The pools that are closest to their limits first.
  std::ranges::stable_sort(sorted, {}, [](const json& pool) -> double {
    return Number(pool, "headroom");
  });
  Table table({"POOL", "VMS", "SERVING", "NEEDED", "HEADROOM", "BUDGET LEFT",
               "QUEUED", "IN FLIGHT"});
  const std::size_t shown = std::min(sorted.size(), kMostPools);
  for (std::size_t i = 0; i < shown; ++i) {
    const json& pool = sorted[i];
    const bool spare = pool.value("spare", json()) == json(true);
    table.Add({Text(pool, "name") + (spare ? " (spare)" : ""),
               Text(pool, "vms"), Text(pool, "serving"), Text(pool, "needed"),
               HeadroomText(pool), Text(pool, "budget_left"),
               Text(pool, "queued"), Text(pool, "in_flight")});
  }
  std::string text = table.Render();
  if (shown < sorted.size()) {
    text +=
        fmt::format("and {} pools with more headroom\n", sorted.size() - shown);
  }
  return text;
}

auto RenderStates(const json& states) -> std::string {
  std::string text = "VMs:";
  for (const auto& item : states.items()) {
    text += fmt::format("{} {} {}", text.back() == ':' ? "" : ",",
                        Text(item.value()), Printable(item.key()));
  }
  return text + "\n";
}

// What is blocked in waves and outside of them.
auto AllBlocked(const json& status) -> json {
  json all = List(status, "blocked");
  for (const json& wave : List(status, "waves")) {
    for (const json& blocked : List(wave, "blocked")) {
      all.push_back(blocked);
    }
  }
  return all;
}

auto RenderSomeWaves(const json& waves) -> std::string {
  const std::size_t shown = std::min(waves.size(), kMostWaves);
  json some = json::array();
  for (std::size_t i = 0; i < shown; ++i) {
    some.push_back(waves[i]);
  }
  std::string text = RenderWaves(some);
  if (shown < waves.size()) {
    text += fmt::format("and {} further waves\n", waves.size() - shown);
  }
  return text;
}

}  // namespace

auto RenderBlocked(const json& blocked, std::size_t max_lines) -> std::string {
  constexpr std::size_t kMostNames = 4;
  std::map<std::string, std::vector<std::string>> by_reason;
  for (const json& item : blocked) {
    by_reason[Text(item, "reason")].push_back(Text(item, "vm"));
  }
  Table table({"BLOCKED", "VMS", "REASON"});
  std::size_t lines = 0;
  for (const auto& [reason, vms] : by_reason) {
    if (++lines > max_lines) {
      break;
    }
    std::string names;
    for (std::size_t i = 0; i < std::min(vms.size(), kMostNames); ++i) {
      names += (names.empty() ? "" : ",") + vms[i];
    }
    names += vms.size() > kMostNames ? ",..." : "";
    table.Add({std::to_string(vms.size()), names, reason});
  }
  std::string text = table.Render();
  if (by_reason.size() > max_lines) {
    text +=
        fmt::format("and {} further reasons\n", by_reason.size() - max_lines);
  }
  return text;
}

auto RenderStatus(const json& status) -> std::string {
  std::string text = RenderHead(status);
  text += "\n" + RenderEntries(List(status, "entries"));
  text += "\n" + RenderPools(List(status, "pools"));
  text += "\n" + RenderStates(status.value("vms_by_state", json::object()));
  if (Number(status, "maintenance_overdue") > 0) {
    text += fmt::format("maintenance overdue: {} VMs\n",
                        Text(status, "maintenance_overdue"));
  }
  const json& waves = List(status, "waves");
  if (!waves.empty()) {
    text += "\n" + RenderSomeWaves(waves);
  }
  const json blocked = AllBlocked(status);
  if (!blocked.empty()) {
    text += "\n" + RenderBlocked(blocked, kMostBlocked);
  }
  return text;
}

}  // namespace fireflythread::ctl
