#include "fireflythread/gateway/request_path.h"

#include <fmt/format.h>

#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/attempt_bytes.h"

namespace fireflythread {

RequestPath::RequestPath(GatewaySettings gateway_settings,
                         PlatformClient& platform_client,
                         GatewayObserver gateway_observer)
    : settings(std::move(gateway_settings)),
      platform(platform_client),
      observer(std::move(gateway_observer)),
      random(this->settings.seed),
      listener(
          this->settings.max_request_bytes,
          [this](CallerRequest request,
                 std::shared_ptr<CallerExchange> exchange) {
            this->OnRequest(std::move(request), std::move(exchange));
          },
          [](const Refusal&) {}) {}

auto RequestPath::Start() -> StartResult {
  return this->listener.Start(this->settings.listen_ip,
                              this->settings.listen_port);
}

auto RequestPath::ApplyControlState(
    std::shared_ptr<const ConfigSnapshot> new_config,
    std::shared_ptr<const FleetView> new_fleet) -> void {
  if (!this->config || new_config->version >= this->config->version) {
    this->config = std::move(new_config);
  }
  if (!this->fleet || new_fleet->version >= this->fleet->version) {
    this->fleet = std::move(new_fleet);
  }
}

auto RequestPath::SetLeaving(std::set<VmId> vms) -> void {
  this->leaving = std::move(vms);
}

auto RequestPath::SetConfirmedUntil(TimePoint until) -> void {
  this->confirmed_until = until;
}

auto RequestPath::InFlight(const VmId& vm) const -> int {
  const auto found = this->workers.find(vm);
  return found == this->workers.end() ? 0 : found->second.in_flight;
}

auto RequestPath::BeginShutdown(std::function<void()> callback) -> void {
  this->shutting_down = true;
  this->listener.NotifyWhenIdle(std::move(callback));
}

auto RequestPath::WorkerFor(const VmRecord& vm) -> Worker& {
  Worker& worker = this->workers[vm.id];
  if (!worker.connections || worker.connections->Address() != vm.address) {
    worker.connections = std::make_unique<ConnectionSet>(
        vm.address, this->settings.max_response_bytes, this->timers);
  }
  return worker;
}

auto RequestPath::ChooseVm(const PoolName& pool) -> const VmRecord* {
  const VmRecord* best = nullptr;
  for (const auto& [id, vm] : this->fleet->vms) {
    if (vm.pool == pool && vm.state == VmState::kServing &&
        !this->leaving.contains(id) &&
        this->WorkerFor(vm).connections->HasRoom() &&
        (best == nullptr || this->InFlight(id) < this->InFlight(best->id))) {
      best = &vm;
    }
  }
  return best;
}

auto RequestPath::OnRequest(CallerRequest request,
                            std::shared_ptr<CallerExchange> exchange) -> void {
  const auto refuse = [&](RefusalReason reason) {
    exchange->Answer(RefusalResponse({reason, ""}));
  };
  if (!this->config || !this->fleet || this->shutting_down) {
    return refuse(this->shutting_down ? RefusalReason::kShuttingDown
                                      : RefusalReason::kNotReady);
  }
  const auto service = this->config->services.find(request.service);
  if (service == this->config->services.end()) {
    return refuse(RefusalReason::kUnknownService);
  }
  const VmRecord* vm = this->ChooseVm(service->second.pool);
  if (vm == nullptr) {
    return refuse(RefusalReason::kNoWorker);
  }
  const auto time_left =
      request.deadline.value_or(service->second.default_deadline);
  AttemptFields fields{
      vm->address,
      fmt::format("{}-{}", this->settings.self.value, this->next_request++),
      vm->pool,
      this->settings.self,
      time_left,
      StartTrace(request.traceparent, this->random)};
  const TimePoint now = ReadBootClock();
  if (now >= this->confirmed_until) {
    return refuse(RefusalReason::kNotFresh);
  }
  Worker& worker = this->WorkerFor(*vm);
  ++worker.in_flight;
  worker.connections->Send(
      BuildAttempt(request, fields), now + time_left,
      [&worker, exchange](AttemptReport report) {
        --worker.in_flight;
        if (report.result == AttemptResult::kAnswered) {
          exchange->Answer({report.response.status, RequestOutcome::kAnswered,
                            "", std::move(report.response.headers),
                            std::move(report.response.body)});
        } else if (report.result == AttemptResult::kUnknown) {
          exchange->Answer(UnknownResponse(report.silent, report.reason));
        } else {
          exchange->Answer(RefusalResponse(
              {RefusalReason::kRefusedByWorkers, report.reason}));
        }
      });
}

}  // namespace fireflythread
