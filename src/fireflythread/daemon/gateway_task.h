#ifndef FIREFLYTHREAD_DAEMON_GATEWAY_TASK_H_
#define FIREFLYTHREAD_DAEMON_GATEWAY_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <variant>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/daemon/control_state.h"
#include "fireflythread/gateway/gateway.h"
#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

struct PeerMessage;

/// Where the gateway task sends its messages. `controller` gives the entry to
/// report to; no value while none is known.
struct GatewayTaskOutputs {
  std::function<void(const EntryId&, peer::Envelope)> send;
  std::function<std::optional<EntryId>()> controller;
};

/// Owns the gateway and its exchange with peers: drain acknowledgements, demand
/// reports and slot loans.
class GatewayTask {
 public:
  GatewayTask(std::unique_ptr<Gateway> gateway, GatewayTaskOutputs outputs);

  auto Start() -> void;
  auto HandlePeer(const PeerMessage& message) -> void;
  auto ApplyControlState(const ControlState& state) -> void;

  [[nodiscard]] auto Requests() -> Gateway& { return *this->gateway; }

 private:
  auto AcknowledgeDrains() -> void;
  auto ReportDemand() -> void;
  auto SendLoanMessages() -> void;

  std::unique_ptr<Gateway> gateway;
  GatewayTaskOutputs outputs;
  ControlState state;
  std::unique_ptr<PeriodicTimer> drain_timer;
  std::unique_ptr<PeriodicTimer> demand_timer;
  std::unique_ptr<PeriodicTimer> loan_timer;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_GATEWAY_TASK_H_
