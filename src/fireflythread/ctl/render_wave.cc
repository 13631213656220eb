#include "fireflythread/ctl/render_wave.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/render_status.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kMostBlockedLines = 20;

auto JoinNames(const json& names) -> std::string {
  std::string text;
  for (const json& name : names) {
    text += text.empty() ? "" : ",";
    text += Text(name);
  }
  return text;
}

auto RenderSelector(const json& wave) -> std::string {
  const json selector = wave.value("selector", json::object());
  std::string text;
  for (const char* key : {"zones", "racks", "pools", "vms"}) {
    const json& names = List(selector, key);
    if (!names.empty()) {
      text += text.empty() ? "" : " ";
      text += fmt::format("{}={}", key, JoinNames(names));
    }
  }
  return text;
}

auto RenderSteps(const json& steps) -> std::string {
  constexpr double kMillisecondsPerSecond = 1000;
  Table table({"BEGIN", "DURATION", "VMS"});
  for (const json& step : steps) {
    table.Add({fmt::format("{:.0f} s",
                           Number(step, "begin_ms") / kMillisecondsPerSecond),
               fmt::format("{:.0f} s", Number(step, "expected_duration_ms") /
                                           kMillisecondsPerSecond),
               JoinNames(List(step, "vms"))});
  }
  return table.Render();
}

}  // namespace

auto RenderWave(const json& wave) -> std::string {
  std::string text = fmt::format(
      "wave {}: {}\nselects {}\n{} of {} VMs done, {} in progress, {} "
      "failed\nexpected end {}\n",
      Printable(Text(wave, "id")), Text(wave, "state"),
      Printable(RenderSelector(wave)), Text(wave, "vms_done"),
      Text(wave, "vms_total"), Text(wave, "vms_in_progress"),
      Text(wave, "vms_failed"), Text(wave, "expected_end"));
  const json& blocked = List(wave, "blocked");
  if (!blocked.empty()) {
    text += "\n" + RenderBlocked(blocked, kMostBlockedLines);
  }
  const json& steps = List(wave, "steps");
  if (!steps.empty()) {
    text += "\n" + RenderSteps(steps);
  }
  return text;
}

auto RenderWaves(const json& waves) -> std::string {
  Table table({"WAVE", "STATE", "DONE", "IN PROGRESS", "FAILED", "TOTAL",
               "BLOCKED", "EXPECTED END", "SELECTS"});
  for (const json& wave : waves) {
    table.Add({Text(wave, "id"), Text(wave, "state"), Text(wave, "vms_done"),
               Text(wave, "vms_in_progress"), Text(wave, "vms_failed"),
               Text(wave, "vms_total"),
               std::to_string(List(wave, "blocked").size()),
               Text(wave, "expected_end"), RenderSelector(wave)});
  }
  return table.Render();
}

}  // namespace fireflythread::ctl
