#include "fireflythread/cells/cell_acceptance.h"

#include <algorithm>
#include <variant>

#include "fireflythread/cells/cell_record.h"
#include "fireflythread/cells/cell_record_codec.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

auto JudgeCells(const CellName& own,
                bool own_majority,
                const std::vector<Row>& rows,
                std::uint64_t config_version) -> CellAcceptance {
  CellAcceptance acceptance;
  if (!own_majority) {
    acceptance.missing.insert(own);
  }
  for (const Row& row : rows) {
    const CellName cell(row.key);
    if (row.table != kCellTable || cell == own) {
      continue;
    }
    const auto decoded = DecodeCellRecord(row);
    const auto* record = std::get_if<CellRecord>(&decoded);
    if (record == nullptr || record->config_version < config_version) {
      acceptance.missing.insert(cell);
    }
  }
  return acceptance;
}

auto AcceptedInAllCells(const CellName& own_cell,
                        std::uint64_t own,
                        const std::vector<Row>& rows) -> std::uint64_t {
  std::uint64_t accepted = own;
  for (const Row& row : rows) {
    if (row.table != kCellTable || row.key == own_cell.value) {
      continue;
    }
    const auto decoded = DecodeCellRecord(row);
    const auto* record = std::get_if<CellRecord>(&decoded);
    accepted =
        std::min(accepted, record == nullptr ? 0 : record->config_version);
  }
  return accepted;
}

}  // namespace fireflythread
