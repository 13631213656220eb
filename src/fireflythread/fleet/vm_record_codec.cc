#include "fireflythread/fleet/vm_record_codec.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "fireflythread/fleet/row_reader.h"
#include "fireflythread/fleet/vm_transitions.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {
namespace {

constexpr std::string_view kVmKeyPrefix = "vm/";

auto ReadPlacement(internal::RowReader& reader, VmRecord& record) -> void {
  record.address = reader.OptionalText("address");
  record.zone = ZoneName(reader.OptionalText("zone"));
  record.rack = RackName(reader.OptionalText("rack"));
  record.cores = reader.OptionalNumber<int>("cores");
  record.memory_mb = reader.OptionalNumber<int>("memory_mb");
  record.accelerators = reader.OptionalNumber<int>("accelerators");
}

auto ReadState(internal::RowReader& reader) -> VmState {
  const std::string name = reader.Text("state");
  const std::optional<VmState> state = ParseVmState(name);
  if (!state.has_value()) {
    reader.Fail("unknown state \"" + name + "\"");
  }
  return state.value_or(VmState::kFailed);
}

}  // namespace

auto FleetKey(const VmId& vm) -> std::string {
  return std::string(kVmKeyPrefix) + vm.value;
}

auto EncodeVmRecord(const VmRecord& record) -> std::string {
  nlohmann::json object = {{"pool", record.pool.value},
                           {"state", VmStateName(record.state)},
                           {"generation", record.generation},
                           {"address", record.address},
                           {"zone", record.zone.value},
                           {"rack", record.rack.value},
                           {"cores", record.cores},
                           {"memory_mb", record.memory_mb},
                           {"accelerators", record.accelerators}};
  if (!record.next_pool.empty()) {
    object["next_pool"] = record.next_pool.value;
  }
  if (!record.wave.empty()) {
    object["wave"] = record.wave.value;
  }
  if (!record.reason.empty()) {
    object["reason"] = record.reason;
  }
  if (!record.boot.empty()) {
    object["boot"] = record.boot;
  }
  if (record.maintained_at != WallTime()) {
    object["maintained_at_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            record.maintained_at.time_since_epoch())
            .count();
  }
  // Text from the platform may hold invalid UTF-8, on which dump() would throw.
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto DecodeVmRecord(const Row& row) -> std::variant<VmRecord, RowError> {
  internal::RowReader reader(row);
  VmRecord record;
  if (!row.key.starts_with(kVmKeyPrefix) ||
      row.key.size() == kVmKeyPrefix.size()) {
    reader.Fail("the key is not vm/ID");
  } else {
    record.id = VmId(row.key.substr(kVmKeyPrefix.size()));
  }
  record.version = row.version;
  record.pool = PoolName(reader.Text("pool"));
  record.next_pool = PoolName(reader.OptionalText("next_pool"));
  record.state = ReadState(reader);
  record.generation = reader.Number<std::uint64_t>("generation");
  record.wave = WaveId(reader.OptionalText("wave"));
  record.reason = reader.OptionalText("reason");
  record.boot = reader.OptionalText("boot");
  record.maintained_at = WallTime(std::chrono::milliseconds(
      reader.OptionalNumber<std::int64_t>("maintained_at_ms")));
  ReadPlacement(reader, record);
  if (record.pool.empty()) {
    reader.Fail("field pool is empty");
  }
  if (reader.Error().has_value()) {
    return *reader.Error();
  }
  return record;
}

auto EncodeFleetHead(std::uint64_t version) -> std::string {
  return std::to_string(version);
}

auto DecodeFleetHead(const Row& row) -> std::variant<std::uint64_t, RowError> {
  const nlohmann::json value =
      nlohmann::json::parse(row.value, nullptr, /*allow_exceptions=*/false);
  if (!value.is_number_unsigned()) {
    return RowError{row.table, row.key, "the head is not a whole number"};
  }
  return value.get<std::uint64_t>();
}

}  // namespace fireflythread
