#include "fireflythread/cells/cell_record_codec.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "fireflythread/fleet/row_reader.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

auto EncodeCellRecord(const CellRecord& record) -> std::string {
  nlohmann::json zones = nlohmann::json::array();
  for (const ZoneName& zone : record.claim.zones) {
    zones.push_back(zone.value);
  }
  const nlohmann::json object = {
      {"config_version", record.config_version},
      {"zones", zones},
      {"at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                    record.written_at.time_since_epoch())
                    .count()}};
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto DecodeCellRecord(const Row& row) -> std::variant<CellRecord, RowError> {
  internal::RowReader reader(row);
  CellRecord record;
  record.claim.cell = CellName(row.key);
  for (std::string& zone : reader.OptionalTexts("zones")) {
    record.claim.zones.insert(ZoneName(std::move(zone)));
  }
  record.version = row.version;
  record.config_version = reader.Number<std::uint64_t>("config_version");
  record.written_at = WallTime(
      std::chrono::milliseconds(reader.OptionalNumber<std::int64_t>("at_ms")));
  if (reader.Error().has_value()) {
    return *reader.Error();
  }
  return record;
}

}  // namespace fireflythread
