#ifndef FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIP_H_
#define FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// What an entry knows of the leases of a shard that it no longer owns. It
/// gives no more leases there.
struct EndedOwnership {
  /// Fencing token of the ownership that has ended.
  std::uint64_t fence = 0;
  TimePoint ended_at;
  /// The unresponsive workers, each with the time from `ended_at` after which
  /// its leases have certainly expired.
  std::map<WorkerId, std::chrono::milliseconds> unresponsive_workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIP_H_
