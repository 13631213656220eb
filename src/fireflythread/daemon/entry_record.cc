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
  const json object = {
      {"incarnation", record.incarnation},
      {"state", record.state == EntryState::kStopped ? "stopped" : "running"},
      {"zone", record.zone.value},
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
  record.caller_address = TextField(object, "caller_address");
  record.admin_address = TextField(object, "admin_address");
  record.peer_address = TextField(object, "peer_address");
  return record;
}

}  // namespace fireflythread
