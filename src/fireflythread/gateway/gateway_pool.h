#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_POOL_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_POOL_H_

#include <vector>

#include "fireflythread/admission/admission_queue.h"
#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/config/pool_spec.h"
#include "fireflythread/gateway/gateway_settings.h"
#include "fireflythread/retry/retry_budget.h"
#include "fireflythread/routing/pool_health.h"
#include "fireflythread/routing/slot_table.h"

namespace fireflythread {

/// What this entry keeps of one pool.
struct GatewayPool {
  GatewayPool(const PoolName& pool_name, const GatewaySettings& settings)
      : name(pool_name),
        queue(AdmissionLimits{.max_queued = settings.max_queued}),
        slots(settings.self, settings.members, settings.longest_request) {}

  PoolName name;
  PoolSpec spec;
  AdmissionQueue queue;
  SlotTable slots;
  PoolHealth health;
  RetryBudget budget;
  /// For how long requests hold a slot.
  ServiceTime hold_time;
  /// Workers that may get new work.
  std::vector<VmId> workers;
  int largest_cores = 0;
  int largest_memory_mb = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_POOL_H_
