#ifndef FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_
#define FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_

#include <chrono>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/ownership/former_owner.h"

namespace fireflythread {

/// What the new owner of a shard knows about the former owner.
struct Handover {
  /// True if the former owner released the shard or its process has ended.
  /// Otherwise it may still be running without a connection to the store.
  bool former_owner_stopped = false;
  FormerOwner former;
  /// Workers that were unresponsive when the former owner released the shard,
  /// each with the time after which its lease has certainly expired.
  std::map<WorkerId, std::chrono::milliseconds> unresponsive_workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_
