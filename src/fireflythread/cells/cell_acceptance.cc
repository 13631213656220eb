#include "fireflythread/cells/cell_acceptance.h"

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

}  // namespace fireflythread
