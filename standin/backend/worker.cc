#include "standin/backend/worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "standin/common/digest.h"
#include "standin/common/host_port.h"
#include "standin/common/main_loop.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr std::chrono::milliseconds kMaxWork{60000};
constexpr int kMaxPaddingBytes = 16 << 20;

/// Counts a fault down; true when it applies to this request.
auto Take(int& count) -> bool {
  if (count <= 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace

Worker::Worker(VmEntry vm_entry,
               Limits worker_limits,
               Ledger& shared_ledger,
               const ServiceTime& service_times,
               Random& random_source)
    : entry(std::move(vm_entry)),
      limits(worker_limits),
      ledger(shared_ledger),
      times(service_times),
      random(random_source),
      listener(HostOf(this->entry.address),
               PortOf(this->entry.address),
               [this](const Exchange& exchange) { this->Handle(exchange); }) {
  this->NewBootId();
  this->listener.SetMaxConnections(this->limits.connections);
}

auto Worker::Handle(const Exchange& exchange) -> void {
  if (exchange->RawPath() == "/healthz") {
    this->HandleHealth(exchange);
    return;
  }
  const std::size_t attempt = this->ledger.Add(
      {.request = exchange->Header("Fireflythread-Request-Id"),
       .caller_request = exchange->Header("X-Standin-Request-Id"),
       .key = exchange->Header("Idempotency-Key"),
       .entry = exchange->Header("Fireflythread-Entry"),
       .pool = exchange->Header("Fireflythread-Pool"),
       .vm = this->entry.id,
       .method = exchange->Method(),
       .path = exchange->RawPath(),
       .state = AttemptState::kHeld,
       .arrived = {},
       .ended = {}});
  if (Take(this->faults.silence_connections)) {
    exchange->GoSilent();
  } else if (this->faults.frozen) {
    this->held.emplace_back(exchange, attempt);
  } else {
    this->Begin(exchange, attempt);
  }
}

auto Worker::HandleHealth(const Exchange& exchange) -> void {
  if (this->faults.frozen) {
    exchange->GoSilent();
    return;
  }
  exchange->ReplyJson(this->faults.unhealthy ? kUnavailable : kOk,
                      {{"boot", this->boot},
                       {"running", this->running.size()},
                       {"connections", this->listener.Connections()},
                       {"draining", this->draining}},
                      {{"X-In-Flight", std::to_string(this->running.size())}});
}

auto Worker::Refuse(const Exchange& exchange, const char* reason) -> void {
  ++this->refused;
  exchange->ReplyJson(kUnavailable, {{"error", reason}},
                      {{"X-Not-Run", "1"},
                       {"X-Reason", reason},
                       {"X-In-Flight", std::to_string(this->running.size())}});
}

auto Worker::Begin(const Exchange& exchange, std::size_t attempt) -> void {
  if (this->faults.fail) {
    this->ledger.Set(attempt, AttemptState::kFailed);
    exchange->ReplyJson(kServerError, {{"error", "failed at once"}});
    return;
  }
  if (this->draining ||
      this->running.size() >= static_cast<std::size_t>(this->limits.slots)) {
    this->ledger.Set(attempt, AttemptState::kRefused);
    this->Refuse(exchange, this->draining ? "draining" : "no slot is free");
    return;
  }
  this->ledger.Set(attempt, AttemptState::kStarted);
  this->running[attempt] = exchange;
  this->peak_running = std::max(this->peak_running, this->running.size());
  const std::string wanted = exchange->Header("X-Standin-Work-Ms");
  const std::chrono::milliseconds work =
      wanted.empty()
          ? DrawServiceTime(this->times,
                            exchange->Header("Fireflythread-Urgency"),
                            this->random)
          : std::chrono::milliseconds(std::atol(wanted.c_str()));
  RunLater(std::clamp(work, std::chrono::milliseconds(0), kMaxWork),
           [this, exchange, attempt, begun_in = this->life] {
             this->End(exchange, attempt, begun_in);
           });
}

auto Worker::End(const Exchange& exchange,
                 std::size_t attempt,
                 std::uint64_t begun_in) -> void {
  if (begun_in != this->life) {
    return;
  }
  if (this->faults.frozen) {
    // A paused process ends its work when it goes on.
    RunLater(std::chrono::milliseconds(20),
             [this, exchange, attempt, begun_in] {
               this->End(exchange, attempt, begun_in);
             });
    return;
  }
  this->running.erase(attempt);
  this->ledger.Set(attempt, AttemptState::kFinished);
  if (this->faults.delay.count() > 0) {
    RunLater(this->faults.delay, [this, exchange] { this->Answer(exchange); });
  } else {
    this->Answer(exchange);
  }
}

auto Worker::AnswerBody(const HttpExchange& exchange) const -> std::string {
  const std::string id = exchange.Header("X-Standin-Request-Id");
  Json body = {{"request", exchange.Header("Fireflythread-Request-Id")},
               {"caller_request", id},
               {"vm", this->entry.id},
               {"path", exchange.RawPath()},
               {"received_bytes", exchange.Body().size()}};
  const std::string wanted = exchange.Header("X-Standin-Answer-Bytes");
  const int padding =
      std::clamp(std::atoi(wanted.c_str()), 0, kMaxPaddingBytes);
  if (padding > 0) {
    body["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto Worker::Answer(const Exchange& exchange) -> void {
  if (this->listener.IsSilent(*exchange)) {
    exchange->GoSilent();
    return;
  }
  std::string body = this->AnswerBody(*exchange);
  const HttpExchange::Headers headers = {
      {"Fireflythread-Request-Id",
       exchange->Header("Fireflythread-Request-Id")},
      {"Content-Digest", fmt::format("sha-256=:{}:", Sha256Base64(body))},
      {"X-In-Flight", std::to_string(this->running.size())}};
  if (Take(this->faults.lose_answers)) {
    exchange->Close();
  } else if (Take(this->faults.duplicate_answers)) {
    exchange->ReplyTwice(kOk, body, headers);
  } else if (Take(this->faults.truncate_answers)) {
    exchange->ReplyTruncated(kOk, body, headers);
  } else {
    if (Take(this->faults.wrong_digests)) {
      body[body.size() / 2] = '#';
    }
    exchange->Reply(kOk, body, headers);
  }
}

auto Worker::Lose() -> void {
  ++this->life;
  this->listener.Shut();
  for (const auto& [attempt, exchange] : this->running) {
    this->ledger.Set(attempt, AttemptState::kAborted);
    exchange->Close();
  }
  this->interrupted += this->running.size();
  this->running.clear();
  for (const auto& [exchange, attempt] : this->held) {
    this->ledger.Set(attempt, AttemptState::kAborted);
    exchange->Close();
  }
  this->held.clear();
}

auto Worker::NewBootId() -> void {
  this->boot = fmt::format("{}-{}", this->entry.id,
                           ReadBootClock().time_since_epoch().count());
}

auto Worker::Start() -> void {
  if (!this->listener.IsOpen()) {
    this->NewBootId();
  }
  this->draining = false;
  this->listener.Open();
}

auto Worker::Reboot(std::chrono::milliseconds duration) -> void {
  ++this->reboots;
  this->Lose();
  RunLater(duration, [this] { this->Start(); });
}

auto Worker::SetFaults(const Json& json) -> void {
  ApplyFaults(json, this->faults);
  if (json.value("silence_established", false)) {
    this->listener.SilenceEstablished();
  }
  if (json.contains("draining")) {
    this->draining = json.at("draining").get<bool>();
  }
  if (json.contains("gone")) {
    if (json.at("gone").get<bool>()) {
      this->Lose();
    } else {
      this->Start();
    }
  }
  while (!this->faults.frozen && !this->held.empty()) {
    const auto [exchange, attempt] = this->held.front();
    this->held.pop_front();
    this->Begin(exchange, attempt);
  }
}

auto Worker::Counters() const -> Json {
  return {{"vm", this->entry.id},
          {"running", this->running.size()},
          {"max_running", this->peak_running},
          {"connections", this->listener.Connections()},
          {"max_connections", this->listener.PeakConnections()},
          {"refused_connections", this->listener.RefusedConnections()},
          {"refused", this->refused},
          {"interrupted", this->interrupted},
          {"reboots", this->reboots},
          {"draining", this->draining},
          {"up", this->listener.IsOpen()}};
}

}  // namespace fireflythread::standin
