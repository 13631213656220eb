#ifndef FIREFLYTHREAD_DAEMON_CONTROL_ROWS_H_
#define FIREFLYTHREAD_DAEMON_CONTROL_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/config/fwd.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/membership/head_kind.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

/// The name of the table whose head row this is.
[[nodiscard]] auto TableOf(HeadKind kind) -> const char*;

/// All rows of the `fleet` table that a view stands for, the head row
/// included.
[[nodiscard]] auto FleetRows(const FleetView& fleet,
                             std::uint64_t head_row_version)
    -> std::vector<Row>;

/// Builds a view from all rows of the `fleet` table; other tables' rows are
/// skipped. A description of the fault when a row is malformed.
[[nodiscard]] auto FleetFromRows(const std::vector<Row>& rows)
    -> std::variant<FleetView, std::string>;

/// The head row of a table among these rows; no value when it is absent.
[[nodiscard]] auto FindHeadRow(const std::vector<Row>& rows, HeadKind kind)
    -> std::optional<Row>;

/// The rows of one table.
[[nodiscard]] auto RowsOfTable(const std::vector<Row>& rows, HeadKind kind)
    -> std::vector<Row>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CONTROL_ROWS_H_
