#ifndef FIREFLYTHREAD_OWNERSHIP_FORMER_OWNER_H_
#define FIREFLYTHREAD_OWNERSHIP_FORMER_OWNER_H_

#include <cstdint>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// The owner of a shard directly before the present one, if it did not release
/// the shard. `entry` is empty if there is none.
struct FormerOwner {
  EntryId entry;
  std::uint64_t incarnation = 0;
  /// Its fencing token.
  std::uint64_t fence = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_FORMER_OWNER_H_
