#ifndef FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_
#define FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_

#include <chrono>
#include <map>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// What a shard's new owner knows of the former one.
struct Handover {
  /// The former owner released the shard or its process has ended; else it may
  /// still run, cut off from the store.
  bool former_owner_stopped = false;
  /// Workers that did not answer the former owner when it released the shard,
  /// with the time until their leases are certainly over.
  std::map<WorkerId, std::chrono::milliseconds> unresponsive_workers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_HANDOVER_H_
