#ifndef FIREFLYTHREAD_GATEWAY_CONTROL_STATE_H_
#define FIREFLYTHREAD_GATEWAY_CONTROL_STATE_H_

#include "fireflythread/base/time.h"
#include "fireflythread/gateway/gateway_state.h"

namespace fireflythread {

/// Brings pools and workers in line with the state's configuration, fleet and
/// leaving VMs.
auto RefreshPools(GatewayState& state) -> void;

/// Treats all own slots as busy until then.
auto BlockOwnSlots(GatewayState& state, TimePoint until) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CONTROL_STATE_H_
