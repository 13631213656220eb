#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_STATE_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "fireflythread/admission/team_limiter.h"
#include "fireflythread/base/random.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/gateway/gateway_observer.h"
#include "fireflythread/gateway/gateway_pool.h"
#include "fireflythread/gateway/gateway_settings.h"
#include "fireflythread/gateway/timer_queue.h"
#include "fireflythread/gateway/worker_state.h"

namespace fireflythread {

/// State that the parts of the gateway share. All of it belongs to the one
/// thread of the gateway's main loop.
struct GatewayState {
  GatewayState(GatewaySettings gateway_settings,
               GatewayObserver gateway_observer)
      : settings(std::move(gateway_settings)),
        observer(std::move(gateway_observer)),
        random(this->settings.seed),
        teams(this->settings.self, this->settings.members) {}

  GatewaySettings settings;
  GatewayObserver observer;
  TimerQueue timers;
  Random random;
  TeamLimiter teams;
  std::shared_ptr<const ConfigSnapshot> config;
  std::shared_ptr<const FleetView> fleet;
  std::set<VmId> leaving;
  TimePoint confirmed_until = TimePoint::min();
  /// Own slots count as busy until then.
  TimePoint predecessor_until = TimePoint::min();
  bool shutting_down = false;
  std::map<PoolName, GatewayPool> pools;
  std::map<VmId, WorkerState> workers;
};

/// Tells the observer's hook, if it is set.
template <typename Hook, typename Event>
auto Notify(const Hook& hook, const Event& event) -> void {
  if (hook) {
    hook(event);
  }
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_STATE_H_
