#ifndef FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_
#define FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflythread/base/random.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/gateway/caller_listener.h"
#include "fireflythread/gateway/connection_set.h"
#include "fireflythread/gateway/gateway_observer.h"
#include "fireflythread/gateway/gateway_settings.h"
#include "fireflythread/gateway/timer_queue.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// The state behind Gateway.
class RequestPath {
 public:
  RequestPath(GatewaySettings settings,
              PlatformClient& platform,
              GatewayObserver observer);

  auto Start() -> StartResult;
  auto ApplyControlState(std::shared_ptr<const ConfigSnapshot> config,
                         std::shared_ptr<const FleetView> fleet) -> void;
  auto SetLeaving(std::set<VmId> vms) -> void;
  auto SetConfirmedUntil(TimePoint until) -> void;
  auto InFlight(const VmId& vm) const -> int;
  auto BeginShutdown(std::function<void()> callback) -> void;

 private:
  struct Worker {
    std::unique_ptr<ConnectionSet> connections;
    int in_flight = 0;
  };

  auto OnRequest(CallerRequest request,
                 std::shared_ptr<CallerExchange> exchange) -> void;
  auto ChooseVm(const PoolName& pool) -> const VmRecord*;
  auto WorkerFor(const VmRecord& vm) -> Worker&;

  GatewaySettings settings;
  PlatformClient& platform;
  GatewayObserver observer;
  TimerQueue timers;
  Random random;
  std::shared_ptr<const ConfigSnapshot> config;
  std::shared_ptr<const FleetView> fleet;
  std::set<VmId> leaving;
  std::map<VmId, Worker> workers;
  TimePoint confirmed_until = TimePoint::min();
  bool shutting_down = false;
  std::uint64_t next_request = 1;
  CallerListener listener;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_
