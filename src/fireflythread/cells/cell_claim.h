#ifndef FIREFLYTHREAD_CELLS_CELL_CLAIM_H_
#define FIREFLYTHREAD_CELLS_CELL_CLAIM_H_

#include <set>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A cell and the zones whose VMs it manages.
struct CellClaim {
  CellName cell;
  /// Empty means all zones, which is allowed only while there is one cell.
  std::set<ZoneName> zones;

  auto operator==(const CellClaim&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CELLS_CELL_CLAIM_H_
