#include "fireflythread/gateway/gateway.h"

#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/request_path.h"

namespace fireflythread {

Gateway::Gateway(GatewaySettings settings,
                 PlatformClient& platform,
                 GatewayObserver observer)
    : path(std::make_unique<RequestPath>(std::move(settings),
                                         platform,
                                         std::move(observer))) {}

Gateway::~Gateway() = default;

auto Gateway::Start() -> StartResult {
  return this->path->Start();
}

auto Gateway::ApplyControlState(std::shared_ptr<const ConfigSnapshot> config,
                                std::shared_ptr<const FleetView> fleet)
    -> void {
  this->path->ApplyControlState(std::move(config), std::move(fleet));
}

auto Gateway::SetLeaving(std::set<VmId> vms) -> void {
  this->path->SetLeaving(std::move(vms));
}

auto Gateway::SetConfirmedUntil(TimePoint until) -> void {
  this->path->SetConfirmedUntil(until);
}

auto Gateway::InFlight(const VmId& vm) const -> int {
  return this->path->InFlight(vm);
}

auto Gateway::DemandByService() -> DemandSnapshot {
  return this->path->Demand();
}

auto Gateway::LoanMessages() -> std::vector<LoanMessage> {
  return this->path->Loans().TakeMessages(ReadBootClock());
}

auto Gateway::HandleLoanRequest(const EntryId& from, const LoanRequest& request)
    -> LoanReply {
  return this->path->Loans().Lend(from, request, ReadBootClock());
}

auto Gateway::HandleLoanReply(const EntryId& from, const LoanReply& reply)
    -> void {
  this->path->TakeLoanReply(from, reply);
}

auto Gateway::HandleSlotReturn(const EntryId& from, const SlotReturn& returned)
    -> void {
  this->path->TakeSlotReturn(from, returned);
}

auto Gateway::SetPredecessorGone() -> void {
  this->path->SetPredecessorGone();
}

auto Gateway::BeginShutdown(std::function<void()> callback) -> void {
  this->path->BeginShutdown(std::move(callback));
}

}  // namespace fireflythread
