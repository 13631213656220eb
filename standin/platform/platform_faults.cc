#include "standin/platform/platform_faults.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

auto SetTime(const Json& json,
             const char* name,
             std::chrono::milliseconds& time) -> void {
  if (json.contains(name)) {
    time = std::chrono::milliseconds(json.at(name).get<int>());
  }
}

auto SetOutage(const Json& json, const char* name, OutageKind& kind) -> void {
  if (!json.contains(name)) {
    return;
  }
  const std::string text = json.at(name);
  kind = text == "refuse"  ? OutageKind::kRefuse
         : text == "close" ? OutageKind::kClose
         : text == "hang"  ? OutageKind::kHang
                           : OutageKind::kNone;
}

}  // namespace

auto ApplyFaults(const Json& json, PlatformFaults& faults) -> void {
  SetOutage(json, "store", faults.store);
  SetOutage(json, "list", faults.list);
  SetOutage(json, "commands", faults.commands);
  SetTime(json, "store_slow_ms", faults.store_slow);
  SetTime(json, "list_lag_ms", faults.list_lag);
  SetTime(json, "report_lag_ms", faults.report_lag);
  SetTime(json, "reboot_ms", faults.reboot_time);
  faults.lose_answers = json.value("lose_answers", faults.lose_answers);
  faults.lose_silently = json.value("lose_silently", faults.lose_silently);
  faults.lose_table = json.value("lose_table", faults.lose_table);
  faults.lose_requests = json.value("lose_requests", faults.lose_requests);
  faults.silence_connections =
      json.value("silence_connections", faults.silence_connections);
  faults.malformed_answers =
      json.value("malformed_answers", faults.malformed_answers);
  faults.cut_listeners = json.value("cut_listeners", faults.cut_listeners);
  faults.hold_writes = json.value("hold_writes", faults.hold_writes);
  faults.hold_commands = json.value("hold_commands", faults.hold_commands);
  faults.failing_workers =
      json.value("failing_workers", faults.failing_workers);
  faults.isolated_workers =
      json.value("isolated_workers", faults.isolated_workers);
}

}  // namespace fireflythread::standin
