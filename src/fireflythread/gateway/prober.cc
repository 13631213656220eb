#include "fireflythread/gateway/prober.h"

#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

constexpr std::size_t kMaxProbeAnswer = std::size_t{64} * 1024;
constexpr int kOk = 200;

}  // namespace

Prober::Prober(TimerQueue& timer_queue, DoneCallback on_done)
    : timers(timer_queue), done(std::move(on_done)) {}

auto Prober::Probe(const VmId& vm, const std::string& address) -> void {
  const auto [probe, added] = this->probes.try_emplace(vm);
  if (!added) {
    return;
  }
  probe->second = std::make_shared<BackendConnection>(address, kMaxProbeAnswer,
                                                      this->timers);
  OutgoingRequest request;
  request.bytes = "GET /healthz HTTP/1.1\r\nHost: " + address +
                  "\r\nConnection: close\r\n\r\n";
  probe->second->Send(std::move(request), ReadBootClock() + kTimeLimit,
                      [this, vm](const AttemptReport& report) {
                        this->probes.erase(vm);
                        this->done(vm,
                                   report.result == AttemptResult::kAnswered &&
                                       report.response.status == kOk);
                      });
}

}  // namespace fireflythread
