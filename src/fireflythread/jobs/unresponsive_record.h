#ifndef FIREFLYTHREAD_JOBS_UNRESPONSIVE_RECORD_H_
#define FIREFLYTHREAD_JOBS_UNRESPONSIVE_RECORD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// The content of the row that names a shard's unresponsive workers.
struct UnresponsiveRow {
  /// Fencing token of the owner that wrote the row.
  std::uint64_t fence = 0;
  /// The time after which every lease of a worker has certainly expired,
  /// counted from any moment after the row was written.
  std::map<WorkerId, std::chrono::milliseconds> workers;
  /// Workers that answer, but may have restarted lately, with the least time
  /// for which their runs must be held if they stop answering. They get leases.
  std::map<WorkerId, std::chrono::milliseconds> restarted;
};

/// What the owner of a shard knows of that row. It tells a new owner how long
/// the runs of lost workers must be held, even if the shard is never released.
struct UnresponsiveRecord {
  /// Workers that the stored row may name. They get no lease, because the row
  /// would be wrong about a later one.
  std::set<WorkerId> named;
  /// Workers that the stored row lists as restarted.
  std::set<WorkerId> restarted;
  /// The same before the row that is being stored.
  std::set<WorkerId> named_before;
  /// Version of the stored row; 0 when there is none.
  std::uint64_t version = 0;
  /// The row has been read after the shard was acquired.
  bool loaded = false;
  /// A row is being stored.
  bool storing = false;
  /// Earliest time of the next transaction that stores a row naming the same
  /// workers.
  TimePoint next_refresh;
  /// Earliest time of the next transaction after a failed one.
  TimePoint next_attempt;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_UNRESPONSIVE_RECORD_H_
