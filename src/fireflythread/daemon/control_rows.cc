#include "fireflythread/daemon/control_rows.h"

#include <algorithm>
#include <iterator>

#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_update.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/fleet/vm_record_codec.h"

namespace fireflythread {

auto TableOf(HeadKind kind) -> const char* {
  return kind == HeadKind::kConfig ? "config" : "fleet";
}

auto FleetRows(const FleetView& fleet, std::uint64_t head_row_version)
    -> std::vector<Row> {
  std::vector<Row> rows;
  if (fleet.version == 0) {
    return rows;
  }
  const std::string table(kFleetTable);
  rows.reserve(fleet.vms.size() + 1);
  rows.push_back({table, std::string(kFleetHeadKey), head_row_version,
                  EncodeFleetHead(fleet.version)});
  for (const auto& [id, record] : fleet.vms) {
    rows.push_back(
        {table, FleetKey(id), record.version, EncodeVmRecord(record)});
  }
  return rows;
}

auto FleetFromRows(const std::vector<Row>& rows)
    -> std::variant<FleetView, std::string> {
  const std::optional<Row> head = FindHeadRow(rows, HeadKind::kFleet);
  FleetView view;
  if (!head) {
    return view;
  }
  const auto version = DecodeFleetHead(*head);
  if (const auto* number = std::get_if<std::uint64_t>(&version)) {
    FleetChanges changes;
    changes.to = *number;
    changes.rows = RowsOfTable(rows, HeadKind::kFleet);
    std::vector<RowError> errors;
    if (ApplyFleetChanges(view, changes, errors) == FleetUpdate::kApplied) {
      return view;
    }
  }
  return std::string("a row of the fleet table is malformed");
}

auto FindHeadRow(const std::vector<Row>& rows, HeadKind kind)
    -> std::optional<Row> {
  const char* table = TableOf(kind);
  const auto found =
      std::find_if(rows.begin(), rows.end(), [table](const Row& row) {
        return row.table == table && row.key == kFleetHeadKey;
      });
  return found == rows.end() ? std::nullopt : std::optional<Row>(*found);
}

auto RowsOfTable(const std::vector<Row>& rows, HeadKind kind)
    -> std::vector<Row> {
  const char* table = TableOf(kind);
  std::vector<Row> selected;
  std::copy_if(rows.begin(), rows.end(), std::back_inserter(selected),
               [table](const Row& row) { return row.table == table; });
  return selected;
}

}  // namespace fireflythread
