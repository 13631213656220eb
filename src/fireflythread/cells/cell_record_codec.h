#ifndef FIREFLYTHREAD_CELLS_CELL_RECORD_CODEC_H_
#define FIREFLYTHREAD_CELLS_CELL_RECORD_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/cells/cell_record.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table of the cells' rows; the key is the cell's name.
inline constexpr std::string_view kCellTable = "cell";

/// The value of a cell's row. The name and the version are not part of it.
[[nodiscard]] auto EncodeCellRecord(const CellRecord& record) -> std::string;

/// Reads a cell's row; a malformed row gives a RowError.
[[nodiscard]] auto DecodeCellRecord(const Row& row)
    -> std::variant<CellRecord, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_CELL_RECORD_CODEC_H_
