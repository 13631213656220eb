#ifndef FIREFLYTHREAD_CELLS_CELL_RECORD_H_
#define FIREFLYTHREAD_CELLS_CELL_RECORD_H_

#include <cstdint>

#include "fireflythread/base/time.h"
#include "fireflythread/cells/cell_claim.h"

namespace fireflythread {

/// The row of one cell in table `cell`.
struct CellRecord {
  CellClaim claim;
  /// The row's version; 0 before it is written.
  std::uint64_t version = 0;
  /// The configuration version that a majority of the cell had in force at one
  /// shared moment; 0 before the cell's controller first wrote it.
  std::uint64_t config_version = 0;
  /// The writer's wall clock, for display only.
  WallTime written_at{};

  auto operator==(const CellRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_CELL_RECORD_H_
