#ifndef FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_
#define FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_

#include <functional>
#include <memory>
#include <set>

#include "fireflythread/gateway/batch_writer.h"
#include "fireflythread/gateway/caller_listener.h"
#include "fireflythread/gateway/demand_snapshot.h"
#include "fireflythread/gateway/dispatcher.h"
#include "fireflythread/gateway/gateway_state.h"
#include "fireflythread/gateway/loan_desk.h"
#include "fireflythread/gateway/task_desk.h"

namespace fireflythread {

/// The parts behind Gateway, in the order in which they depend on each other.
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
  [[nodiscard]] auto InFlight(const VmId& vm) const -> int;
  [[nodiscard]] auto Demand() -> DemandSnapshot;
  [[nodiscard]] auto Loans() -> LoanDesk& { return this->loans; }
  auto TakeLoanReply(const EntryId& from, const LoanReply& reply) -> void;
  auto TakeSlotReturn(const EntryId& from, const SlotReturn& returned) -> void;
  auto SetPredecessorGone() -> void;
  auto BeginShutdown(std::function<void()> callback) -> void;

 private:
  auto OnRefused(const Refusal& refusal) -> void;
  /// A successor takes all own slots for free after a hand-over, so peers must
  /// have given back what they borrowed. Loans are not renewed meanwhile.
  auto WaitForLentSlots(std::function<void()> callback) -> void;

  GatewayState state;
  BatchWriter writer;
  TaskDesk tasks;
  Dispatcher dispatcher;
  LoanDesk loans;
  CallerListener listener;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_REQUEST_PATH_H_
