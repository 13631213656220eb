#ifndef FIREFLYTHREAD_RETENTION_RETENTION_FACTS_H_
#define FIREFLYTHREAD_RETENTION_RETENTION_FACTS_H_

#include <cstdint>
#include <map>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// What the removal of rows depends on beside the rows.
struct RetentionFacts {
  WallTime wall_time;
  /// The controller epoch's row at the version that this controller acquired.
  Condition fence;
  /// The cell's entries that are registered, with their last incarnation.
  std::map<EntryId, std::uint64_t> incarnations;
  /// Those that were stopped in order in their last incarnation.
  std::set<EntryId> stopped;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETENTION_RETENTION_FACTS_H_
