#include "fireflythread/gateway/request_path.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/control_state.h"

namespace fireflythread {

RequestPath::RequestPath(GatewaySettings settings,
                         PlatformClient& platform,
                         GatewayObserver observer)
    : state(std::move(settings), std::move(observer)),
      writer(platform, this->state.timers, this->state.settings.store_timeout),
      tasks(this->state, platform, this->writer),
      dispatcher(this->state, platform, this->writer),
      loans(this->state),
      listener(
          this->state.settings,
          [this](CallerRequest request,
                 std::shared_ptr<CallerExchange> exchange) {
            if (IsTaskRequest(request)) {
              this->tasks.Accept(std::move(request), std::move(exchange));
            } else {
              this->dispatcher.Accept(std::move(request), std::move(exchange));
            }
          },
          [this](const Refusal& refusal) { this->OnRefused(refusal); }) {}

auto RequestPath::Start() -> StartResult {
  const TimePoint until =
      ReadBootClock() + this->state.settings.longest_request;
  BlockOwnSlots(this->state, until);
  std::ignore = this->state.timers.RunAt(
      until, [this] { this->dispatcher.DispatchAll(); });
  return this->listener.Start(this->state.settings.listen_ip,
                              this->state.settings.listen_port);
}

auto RequestPath::ApplyControlState(
    std::shared_ptr<const ConfigSnapshot> config,
    std::shared_ptr<const FleetView> fleet) -> void {
  if (!this->state.config || config->version >= this->state.config->version) {
    this->state.config = std::move(config);
  }
  if (!this->state.fleet || fleet->version >= this->state.fleet->version) {
    this->state.fleet = std::move(fleet);
  }
  RefreshPools(this->state);
  this->dispatcher.DispatchAll();
}

auto RequestPath::SetLeaving(std::set<VmId> vms) -> void {
  this->state.leaving = std::move(vms);
  RefreshPools(this->state);
}

auto RequestPath::SetConfirmedUntil(TimePoint until) -> void {
  this->state.confirmed_until = until;
}

auto RequestPath::InFlight(const VmId& vm) const -> int {
  const TimePoint now = ReadBootClock();
  const auto found = this->state.workers.find(vm);
  if (found == this->state.workers.end()) {
    return 0;
  }
  // The predecessor's requests are not known one by one.
  const int inherited = now < this->state.predecessor_until ? 1 : 0;
  return inherited + CountInFlight(found->second, now);
}

auto RequestPath::Demand() -> DemandSnapshot {
  const TimePoint now = ReadBootClock();
  DemandSnapshot snapshot;
  snapshot.services = this->dispatcher.Demand().TakeReport(now);
  for (const auto& [vm, worker] : this->state.workers) {
    const auto pool = this->state.pools.find(worker.pool);
    const bool known = pool != this->state.pools.end();
    snapshot.workers.push_back({vm, CountInFlight(worker, now),
                                known && pool->second.health.IsEjected(vm),
                                known ? pool->second.health.Reason(vm) : ""});
  }
  snapshot.config_version =
      this->state.config ? this->state.config->version : 0;
  snapshot.fleet_version = this->state.fleet ? this->state.fleet->version : 0;
  return snapshot;
}

auto RequestPath::TakeLoanReply(const EntryId& from, const LoanReply& reply)
    -> void {
  this->loans.TakeReply(from, reply, ReadBootClock());
  this->dispatcher.DispatchAll();
}

auto RequestPath::TakeSlotReturn(const EntryId& from,
                                 const SlotReturn& returned) -> void {
  this->loans.TakeReturn(from, returned);
  this->dispatcher.DispatchAll();
}

auto RequestPath::SetPredecessorGone() -> void {
  BlockOwnSlots(this->state, TimePoint::min());
  this->dispatcher.DispatchAll();
}

auto RequestPath::BeginShutdown(std::function<void()> callback) -> void {
  this->state.shutting_down = true;
  this->dispatcher.NotifyWhenIdle([this, callback = std::move(callback)] {
    this->WaitForLentSlots(
        [this, callback] { this->listener.NotifyWhenIdle(callback); });
  });
}

auto RequestPath::WaitForLentSlots(std::function<void()> callback) -> void {
  constexpr Duration kInterval = std::chrono::milliseconds(50);
  const TimePoint now = ReadBootClock();
  const bool any_lent = std::any_of(
      this->state.pools.begin(), this->state.pools.end(),
      [&](const auto& entry) { return entry.second.slots.LentSlots(now) > 0; });
  if (!any_lent) {
    callback();
    return;
  }
  std::ignore = this->state.timers.RunAt(
      now + kInterval, [this, callback = std::move(callback)] {
        this->WaitForLentSlots(callback);
      });
}

auto RequestPath::OnRefused(const Refusal& refusal) -> void {
  RequestFinished event;
  event.trace =
      StartTrace("", this->state.settings.sample_ratio, this->state.random);
  event.status = RefusalHttpStatus(refusal.reason);
  event.reason = RefusalReasonText(refusal.reason);
  event.started = ReadBootClock();
  Notify(this->state.observer.request_finished, event);
}

}  // namespace fireflythread
