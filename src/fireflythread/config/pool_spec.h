#ifndef FIREFLYTHREAD_CONFIG_POOL_SPEC_H_
#define FIREFLYTHREAD_CONFIG_POOL_SPEC_H_

#include <cstdint>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A pool of VMs.
struct PoolSpec {
  PoolName name;
  std::uint64_t version = 0;
  /// The controller keeps the pool's size between these bounds.
  int min_vms = 1;
  int max_vms = 1000;
  /// True for the pool that holds the shared reserve.
  bool spare = false;
  /// Requests that may run at once on one worker (1 to 64).
  int slots_per_worker = 8;
  /// Connections one worker accepts (slots_per_worker to 1000).
  int connections_per_worker = 60;

  auto operator==(const PoolSpec&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_POOL_SPEC_H_
