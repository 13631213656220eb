#ifndef FIREFLYTHREAD_FLEET_FLEET_CHANGES_H_
#define FIREFLYTHREAD_FLEET_FLEET_CHANGES_H_

#include <cstdint>
#include <vector>

#include "fireflythread/fleet/deleted_row.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows of the `fleet` table that take a view to the head version `to`. A push
/// that starts from a head version above the view's leaves a gap and is not
/// applied; a scan of the table passes the view's own version as `from`.
struct FleetChanges {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  /// VM rows; the `head` row is skipped.
  std::vector<Row> rows;
  std::vector<DeletedRow> deleted;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_FLEET_CHANGES_H_
