#ifndef FIREFLYTHREAD_CELLS_CELL_CONFLICT_H_
#define FIREFLYTHREAD_CELLS_CELL_CONFLICT_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflythread/cells/fwd.h"

namespace fireflythread {

/// Why two claims cannot both hold, in words: one cell with different zones, a
/// zone in two cells, or a cell of all zones beside another. No value when
/// they can.
[[nodiscard]] auto FindClaimConflict(const CellClaim& own,
                                     const CellClaim& other)
    -> std::optional<std::string>;

/// The first conflict of a cell's own claim with those of the registered
/// entries and of the rows of table `cell`.
[[nodiscard]] auto FindClaimConflict(const CellClaim& own,
                                     const std::vector<CellClaim>& others)
    -> std::optional<std::string>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_CELL_CONFLICT_H_
