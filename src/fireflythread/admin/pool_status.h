#ifndef FIREFLYTHREAD_ADMIN_POOL_STATUS_H_
#define FIREFLYTHREAD_ADMIN_POOL_STATUS_H_

#include "fireflythread/base/ids.h"

namespace fireflythread::admin {

/// One pool as it is now.
struct PoolStatus {
  PoolName name;
  int vms = 0;
  int serving = 0;
  /// VMs that demand and headroom need, as the controller last computed.
  int needed = 0;
  /// Idle capacity above demand, as a share of demand.
  double headroom = 0;
  /// How many more VMs maintenance may take now.
  int budget_left = 0;
  int queued = 0;
  int in_flight = 0;
  bool spare = false;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_POOL_STATUS_H_
