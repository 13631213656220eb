#ifndef FIREFLYTHREAD_CELLS_CELL_ACCEPTANCE_H_
#define FIREFLYTHREAD_CELLS_CELL_ACCEPTANCE_H_

#include <cstdint>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// What the rows of table `cell` say about one configuration version.
struct CellAcceptance {
  /// Cells that may still serve with an older version.
  std::set<CellName> missing;

  [[nodiscard]] auto Accepted() const -> bool { return this->missing.empty(); }
};

/// Judges a version by all rows of table `cell`. The own cell counts by what
/// its members report directly (`own_majority`), since its row follows up to a
/// second later. A row that is malformed counts as missing. The rows must have
/// been read after the version was committed: a cell that starts later reads
/// the configuration after it inserted its row, so it starts with this version.
[[nodiscard]] auto JudgeCells(const CellName& own,
                              bool own_majority,
                              const std::vector<Row>& rows,
                              std::uint64_t config_version) -> CellAcceptance;

/// The highest version that the own cell's majority has in force (`own`) and
/// the rows of all other cells show; a malformed row counts as version 0.
[[nodiscard]] auto AcceptedInAllCells(const CellName& own_cell,
                                      std::uint64_t own,
                                      const std::vector<Row>& rows)
    -> std::uint64_t;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_CELL_ACCEPTANCE_H_
