#include "fireflythread/daemon/entry_record.h"

#include <nlohmann/json.hpp>

namespace fireflythread {
namespace {

using nlohmann::json;

auto TextField(const json& object, const char* name) -> std::string {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get<std::string>()
                                                     : std::string();
}

}  // namespace

auto EncodeEntryRecord(const EntryRecord& record) -> std::string {
  json zones = json::array();
  for (const ZoneName& zone : record.claim.zones) {
    zones.push_back(zone.value);
  }
  const json object = {
      {"incarnation", record.incarnation},
      {"state", record.state == EntryState::kStopped ? "stopped" : "running"},
      {"zone", record.zone.value},
      {"cell", record.claim.cell.value},
      {"cell_zones", zones},
      {"caller_address", record.caller_address},
      {"admin_address", record.admin_address},
      {"peer_address", record.peer_address}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto DecodeEntryRecord(const EntryId& id,
                       std::uint64_t version,
                       const std::string& text) -> std::optional<EntryRecord> {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto incarnation = object.find("incarnation");
  const std::string state = TextField(object, "state");
  if (incarnation == object.end() || !incarnation->is_number_unsigned() ||
      (state != "running" && state != "stopped")) {
    return std::nullopt;
  }
  EntryRecord record;
  record.id = id;
  record.version = version;
  record.incarnation = incarnation->get<std::uint64_t>();
  record.state =
      state == "stopped" ? EntryState::kStopped : EntryState::kRunning;
  record.zone = ZoneName(TextField(object, "zone"));
  record.claim.cell = CellName(TextField(object, "cell"));
  if (record.claim.cell.empty()) {
    // Rows of programs without cells, which were one cell of this name.
    record.claim.cell = CellName("main");
  }
  if (const auto zones = object.find("cell_zones");
      zones != object.end() && zones->is_array()) {
    for (const json& zone : *zones) {
      if (zone.is_string()) {
        record.claim.zones.insert(ZoneName(zone.get<std::string>()));
      }
    }
  }
  record.caller_address = TextField(object, "caller_address");
  record.admin_address = TextField(object, "admin_address");
  record.peer_address = TextField(object, "peer_address");
  return record;
}

}  // namespace fireflythread
