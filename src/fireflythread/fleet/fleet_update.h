#ifndef FIREFLYTHREAD_FLEET_FLEET_UPDATE_H_
#define FIREFLYTHREAD_FLEET_FLEET_UPDATE_H_

#include <vector>

#include "fireflythread/fleet/fwd.h"
#include "fireflythread/fleet/row_error.h"

namespace fireflythread {

enum class FleetUpdate {
  kApplied,
  /// The changes lead to a lower head version; the view is unchanged.
  kStale,
  /// Changes before `from` are missing; the view is unchanged. Scan the table.
  kGap,
  /// A row was malformed; the view is unchanged and its version stays, so the
  /// entry does not count as current.
  kMalformed
};

/// Applies changed rows to a view, all or none. A row replaces a record only
/// if its version is higher, and the view's version never falls. Errors of
/// malformed rows are added to `errors`.
[[nodiscard]] auto ApplyFleetChanges(FleetView& view,
                                     const FleetChanges& changes,
                                     std::vector<RowError>& errors)
    -> FleetUpdate;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_FLEET_UPDATE_H_
