#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/gateway/demand_snapshot.h"
#include "fireflythread/gateway/gateway_observer.h"
#include "fireflythread/gateway/gateway_settings.h"
#include "fireflythread/gateway/loan_message.h"
#include "fireflythread/gateway/start_result.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/routing/slot_loan.h"

namespace fireflythread {

class RequestPath;

/// The request path of an entry: takes requests from callers, admits and
/// queues them, sends them to backend servers and answers. Lives on the main
/// loop of the thread that constructs it; all calls come from that thread.
class Gateway {
 public:
  Gateway(GatewaySettings settings,
          PlatformClient& platform,
          GatewayObserver observer);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  auto operator=(const Gateway&) -> Gateway& = delete;

  /// Starts to listen for callers. Until the first ApplyControlState() and
  /// SetConfirmedUntil() requests are answered "not run".
  [[nodiscard]] auto Start() -> StartResult;

  /// Takes a new control state. A lower version than the one in force of
  /// either part is not applied.
  auto ApplyControlState(std::shared_ptr<const ConfigSnapshot> config,
                         std::shared_ptr<const FleetView> fleet) -> void;

  /// Replaces the set of VMs that the platform's list shows as leaving. They
  /// get no new work from the moment of this call.
  auto SetLeaving(std::set<VmId> vms) -> void;

  /// Requests are sent only until this time, checked directly before each
  /// send; later ones are answered "not run". A time in the past stops sends.
  auto SetConfirmedUntil(TimePoint until) -> void;

  /// Requests that run or may still run on a VM, including those whose answer
  /// did not come: such a one counts until the longest request time after its
  /// send, and until the predecessor is gone there is at least 1. A drain may
  /// be acknowledged at 0.
  [[nodiscard]] auto InFlight(const VmId& vm) const -> int;

  /// Demand since the last call.
  [[nodiscard]] auto DemandByService() -> DemandSnapshot;

  /// Messages about slot loans to be sent to peers now. Called every 100 ms.
  [[nodiscard]] auto LoanMessages() -> std::vector<LoanMessage>;

  /// Lends free slots to a peer. An empty reply is also to be sent.
  [[nodiscard]] auto HandleLoanRequest(const EntryId& from,
                                       const LoanRequest& request) -> LoanReply;
  auto HandleLoanReply(const EntryId& from, const LoanReply& reply) -> void;
  auto HandleSlotReturn(const EntryId& from, const SlotReturn& returned)
      -> void;

  /// The entry's earlier process has no request in flight any more, so its
  /// slots are free. Without this call they count as busy until the longest
  /// request time after Start().
  auto SetPredecessorGone() -> void;

  /// Answers new requests "not run", finishes those accepted, and runs
  /// `callback` once, when the last answer and record has been written and
  /// peers have given back what they borrowed. It must not destroy the gateway.
  auto BeginShutdown(std::function<void()> callback) -> void;

 private:
  std::unique_ptr<RequestPath> path;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_H_
