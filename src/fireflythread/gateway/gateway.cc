#include "fireflythread/gateway/gateway.h"

#include <utility>

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
  return {};
}

auto Gateway::LoanMessages() -> std::vector<LoanMessage> {
  return {};
}

auto Gateway::HandleLoanRequest(const EntryId& /*from*/,
                                const LoanRequest& request) -> LoanReply {
  return {request.request, {}, {}};
}

auto Gateway::HandleLoanReply(const EntryId& /*from*/,
                              const LoanReply& /*reply*/) -> void {}

auto Gateway::HandleSlotReturn(const EntryId& /*from*/,
                               const SlotReturn& /*returned*/) -> void {}

auto Gateway::SetPredecessorGone() -> void {}

auto Gateway::BeginShutdown(std::function<void()> callback) -> void {
  this->path->BeginShutdown(std::move(callback));
}

}  // namespace fireflythread
