#include "fireflythread/admin/encode_status.h"

#include <nlohmann/json.hpp>

#include "fireflythread/admin/config_object.h"
#include "fireflythread/admin/config_version_status.h"
#include "fireflythread/admin/fleet_status.h"
#include "fireflythread/admin/history_entry.h"
#include "fireflythread/admin/vm_status.h"
#include "fireflythread/telemetry/format_time.h"

namespace fireflythread::admin {
namespace {

using Json = nlohmann::json;

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

template <typename T>
auto EncodeIds(const std::vector<T>& ids) -> Json {
  Json list = Json::array();
  for (const T& id : ids) {
    list.push_back(id.value);
  }
  return list;
}

auto ParseBody(const std::string& body) -> Json {
  Json json = Json::parse(body, nullptr, false);
  return json.is_discarded() ? Json(nullptr) : json;
}

auto Encode(const BlockedVm& blocked) -> Json {
  return {{"vm", blocked.vm.value}, {"reason", blocked.reason}};
}

auto Encode(const WaveStep& step) -> Json {
  return {{"vms", EncodeIds(step.vms)},
          {"begin_ms", Milliseconds(step.begin)},
          {"expected_duration_ms", Milliseconds(step.expected_duration)}};
}

auto Encode(const EntryStatus& entry) -> Json {
  return {{"id", entry.id.value},
          {"zone", entry.zone.value},
          {"state",
           entry.state ? Json(FormatReadinessState(*entry.state)) : Json()},
          {"config_version", entry.config_version},
          {"fleet_version", entry.fleet_version},
          {"last_heard_ms", Milliseconds(entry.last_heard)},
          {"is_self", entry.is_self}};
}

auto Encode(const ControllerStatus& controller) -> Json {
  return {{"holder", controller.holder.value},
          {"epoch", controller.epoch},
          {"since_renewal_ms", Milliseconds(controller.since_renewal)},
          {"duration_ms", Milliseconds(controller.duration)}};
}

auto Encode(const WaveSelector& selector) -> Json {
  return {{"zones", EncodeIds(selector.zones)},
          {"racks", EncodeIds(selector.racks)},
          {"pools", EncodeIds(selector.pools)},
          {"vms", EncodeIds(selector.vms)}};
}

template <typename T>
auto EncodeItems(const std::vector<T>& items) -> Json {
  Json list = Json::array();
  for (const T& item : items) {
    list.push_back(Encode(item));
  }
  return list;
}

}  // namespace

auto Encode(const ConfigObject& object) -> Json {
  Json json = ParseBody(object.body);
  if (!json.is_object()) {
    json = Json::object();
  }
  json["name"] = object.name;
  json["version"] = object.version;
  return json;
}

auto Encode(const ConfigObject& pool, const PoolStatus& status) -> Json {
  Json json = Encode(pool);
  json["status"] = Encode(status);
  return json;
}

auto Encode(const PoolStatus& pool) -> Json {
  return {{"name", pool.name.value},   {"vms", pool.vms},
          {"serving", pool.serving},   {"needed", pool.needed},
          {"headroom", pool.headroom}, {"budget_left", pool.budget_left},
          {"queued", pool.queued},     {"in_flight", pool.in_flight},
          {"spare", pool.spare}};
}

auto Encode(const VmStatus& vm) -> Json {
  const VmRecord& record = vm.record;
  return {{"id", record.id.value},
          {"version", record.version},
          {"pool", record.pool.value},
          {"next_pool", record.next_pool.value},
          {"state", FormatVmState(record.state)},
          {"generation", record.generation},
          {"wave", record.wave.value},
          {"reason", record.reason},
          {"address", record.address},
          {"zone", record.zone.value},
          {"rack", record.rack.value},
          {"cores", record.cores},
          {"memory_mb", record.memory_mb},
          {"accelerators", record.accelerators},
          {"maintained_at", record.maintained_at == WallTime()
                                ? Json(nullptr)
                                : Json(FormatWallTime(record.maintained_at))},
          {"in_flight", vm.in_flight},
          {"ejected", vm.ejected},
          {"note", vm.note}};
}

auto Encode(const WaveStatus& wave) -> Json {
  return {
      {"id", wave.id.value},
      {"selector", Encode(wave.selector)},
      {"state", FormatWaveState(wave.state)},
      {"declared_by", wave.declared_by},
      {"reason", wave.reason},
      {"declared_at", FormatWallTime(wave.declared_at)},
      {"vms_total", wave.vms_total},
      {"vms_done", wave.vms_done},
      {"vms_in_progress", wave.vms_in_progress},
      {"vms_failed", wave.vms_failed},
      {"expected_end",
       wave.expected_end ? Json(FormatWallTime(*wave.expected_end)) : Json()},
      {"blocked", EncodeItems(wave.blocked)},
      {"steps", EncodeItems(wave.steps)}};
}

auto Encode(const FleetStatus& status) -> Json {
  Json by_state = Json::object();
  for (const auto& [state, count] : status.vms_by_state) {
    by_state[std::string(FormatVmState(state))] = count;
  }
  return {{"config_version", status.config_version},
          {"fleet_version", status.fleet_version},
          {"store_reachable", status.store_reachable},
          {"entries", EncodeItems(status.entries)},
          {"controller", Encode(status.controller)},
          {"pools", EncodeItems(status.pools)},
          {"vms_by_state", by_state},
          {"maintenance_overdue", status.maintenance_overdue},
          {"waves", EncodeItems(status.waves)},
          {"blocked", EncodeItems(status.blocked)}};
}

auto Encode(const ConfigVersionStatus& status) -> Json {
  Json in_force = Json::object();
  for (const auto& [entry, version] : status.in_force) {
    in_force[entry.value] = version;
  }
  Json cells = Json::array();
  for (const CellName& cell : status.missing_cells) {
    cells.push_back(cell.value);
  }
  return {{"committed", status.committed},
          {"accepted", status.accepted},
          {"in_force", in_force},
          {"behind", EncodeIds(status.behind)},
          {"missing_cells", cells}};
}

auto Encode(const HistoryEntry& entry) -> Json {
  return {{"version", entry.version},
          {"when", FormatWallTime(entry.when)},
          {"who", entry.who},
          {"kind", ObjectKindName(entry.kind)},
          {"name", entry.name},
          {"from_version", entry.from_version},
          {"old", ParseBody(entry.old_body)},
          {"new", ParseBody(entry.new_body)}};
}

auto Encode(const Readiness& readiness) -> Json {
  return {{"state", FormatReadinessState(readiness.state)},
          {"reason", readiness.reason}};
}

template <typename T>
auto EncodeList(const char* key, const std::vector<T>& items) -> Json {
  return {{key, EncodeItems(items)}};
}

template auto EncodeList(const char* key,
                         const std::vector<ConfigObject>& items) -> Json;
template auto EncodeList(const char* key, const std::vector<VmStatus>& items)
    -> Json;
template auto EncodeList(const char* key, const std::vector<WaveStatus>& items)
    -> Json;
template auto EncodeList(const char* key,
                         const std::vector<HistoryEntry>& items) -> Json;

}  // namespace fireflythread::admin
