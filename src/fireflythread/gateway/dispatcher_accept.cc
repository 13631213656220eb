#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/answer_check.h"
#include "fireflythread/gateway/dispatcher.h"

namespace fireflythread {

namespace {

/// Tells a repeat of a request from another one with the same key.
auto Fingerprint(const CallerRequest& request) -> std::string {
  return Sha256Base64(
      fmt::format("{} {}\n{}", request.method, request.target, request.body));
}

auto RecordedResponse(const RecordedAnswer& answer, std::string body)
    -> CallerResponse {
  CallerResponse response;
  response.status = answer.status;
  for (const RecordedHeader& header : answer.headers) {
    response.headers.push_back({header.name, header.value});
  }
  response.body = std::move(body);
  return response;
}

}  // namespace

Dispatcher::Dispatcher(GatewayState& gateway_state,
                       PlatformClient& platform,
                       BatchWriter& writer)
    : state(gateway_state),
      records(platform,
              writer,
              gateway_state.timers,
              gateway_state.settings.store_timeout),
      prober(
          gateway_state.timers,
          [this](const VmId& vm, bool good) { this->OnProbeDone(vm, good); }),
      // The seed tells the requests of one process from those of the next.
      id_prefix(fmt::format("{}-{:08x}",
                            gateway_state.settings.self.value,
                            gateway_state.settings.seed & 0xffffffffU)) {}

auto Dispatcher::Accept(CallerRequest caller_request,
                        std::shared_ptr<CallerExchange> exchange) -> void {
  auto request = std::make_shared<RequestState>();
  request->id = this->next_id++;
  request->request_id = fmt::format("{}-{}", this->id_prefix, request->id);
  request->trace =
      StartTrace(caller_request.traceparent, this->state.settings.sample_ratio,
                 this->state.random);
  request->request = std::move(caller_request);
  request->exchange = std::move(exchange);
  request->started = ReadBootClock();
  request->deadline = request->started;
  this->open.emplace(request->id, request);
  if (const auto refusal = this->CheckRequest(*request)) {
    this->Refuse(request, refusal->reason, refusal->detail);
  } else if (!request->request.idempotent) {
    this->ClaimKey(request);
  } else {
    this->Enqueue(request);
  }
}

auto Dispatcher::CheckRequest(RequestState& request) -> std::optional<Refusal> {
  if (this->state.shutting_down) {
    return Refusal{RefusalReason::kShuttingDown, "the entry is stopping"};
  }
  if (!this->state.config || !this->state.fleet) {
    return Refusal{RefusalReason::kNotReady, "no control state yet"};
  }
  const auto service =
      this->state.config->services.find(request.request.service);
  if (service == this->state.config->services.end()) {
    return Refusal{RefusalReason::kUnknownService, "no such service"};
  }
  request.pool = service->second.pool;
  request.deadline = request.started + request.request.deadline.value_or(
                                           service->second.default_deadline);
  DemandMeter::Service& demand = this->meter.Of(request.request.service);
  ++demand.arrivals;
  const auto pool = this->state.pools.find(request.pool);
  if (pool == this->state.pools.end() || pool->second.workers.empty()) {
    return Refusal{RefusalReason::kNoWorker, "the pool has no worker"};
  }
  if (request.request.cores > pool->second.largest_cores ||
      request.request.memory_mb > pool->second.largest_memory_mb) {
    return Refusal{
        RefusalReason::kSizeFitsNoWorker,
        fmt::format("no worker of the pool has {} cores and {} MB",
                    request.request.cores, request.request.memory_mb)};
  }
  if (request.started >= this->state.confirmed_until) {
    return Refusal{RefusalReason::kNotFresh, "control state not confirmed"};
  }
  // Names that are not configured share the quota and weight of no team, so
  // that made-up names gain nothing.
  if (this->state.config->teams.contains(request.request.team)) {
    request.quota_team = request.request.team;
  }
  if (const auto limit =
          this->state.teams.TryAdmit(request.quota_team, request.started)) {
    return Refusal{*limit, "the team's quota at this entry is used up"};
  }
  request.counted_by_team = true;
  return std::nullopt;
}

auto Dispatcher::ClaimKey(const Request& request) -> void {
  HeldClaim claim;
  claim.row_key = RecordKey(request->request.service, request->request.key);
  claim.record.nonce =
      fmt::format("{}-{:016x}", request->request_id, this->state.random());
  claim.record.entry = this->state.settings.self;
  claim.record.incarnation = this->state.settings.incarnation;
  claim.record.fingerprint = Fingerprint(request->request);
  claim.record.claimed_at = std::chrono::system_clock::now();
  this->records.Claim(
      claim.row_key, claim.record,
      [this, request, claim](const RecordStore::ClaimResult& result) {
        this->OnClaim(request, claim, result);
      });
}

auto Dispatcher::OnClaim(const Request& request,
                         HeldClaim claim,
                         const RecordStore::ClaimResult& result) -> void {
  const auto* held = std::get_if<ClaimHeld>(&result);
  if (request->answered) {
    // Its wait ended before the claim did, and nothing was sent.
    if (held != nullptr) {
      claim.version = held->version;
      claim.record.state = RecordState::kNotRun;
      this->records.Finish(std::move(claim));
    }
    return;
  }
  if (held != nullptr) {
    this->LeaveWait(*request);
    claim.version = held->version;
    this->held_keys.insert(claim.row_key);
    request->claim = std::move(claim);
    this->Enqueue(request);
  } else if (const auto* taken = std::get_if<ClaimTaken>(&result)) {
    this->OnClaimTaken(request, claim, taken->record);
  } else if (request->waiting) {
    // Another repeat may hold the claim by now, so "not run" would be wrong.
    this->PlanRead(request);
  } else {
    this->Refuse(request, RefusalReason::kNotRecorded,
                 std::get<ClaimNotRecorded>(result).reason);
  }
}

auto Dispatcher::OnClaimTaken(const Request& request,
                              const HeldClaim& claim,
                              const IdempotencyRecord& record) -> void {
  const RepeatAnswer answer = ChooseRepeatAnswer(
      record, claim.record.fingerprint, std::chrono::system_clock::now(),
      this->state.settings.longest_request);
  if (answer == RepeatAnswer::kInProgress) {
    this->WaitForFirst(request, claim);
    return;
  }
  this->LeaveWait(*request);
  if (answer == RepeatAnswer::kRecorded) {
    this->AnswerRepeat(request, record);
  } else if (answer == RepeatAnswer::kKeyReused) {
    this->Refuse(request, RefusalReason::kKeyReused,
                 "another request has used this key");
  } else {
    this->Finish(request, UnknownResponse(false,
                                          "an earlier request with this key "
                                          "has an unknown outcome"));
  }
}

auto Dispatcher::AnswerRepeat(const Request& request,
                              const IdempotencyRecord& record) -> void {
  const RecordedAnswer& answer = *record.answer;
  if (answer.body_object.empty()) {
    this->Finish(request, RecordedResponse(answer, answer.body));
    return;
  }
  this->records.ReadBody(
      answer.body_object,
      [this, request, answer](const std::optional<std::string>& body) {
        this->Finish(request,
                     body ? RecordedResponse(answer, *body)
                          : UnknownResponse(
                                false, "the recorded answer is unavailable"));
      });
}

auto Dispatcher::LoadOf(GatewayPool& pool, TimePoint now) const -> PoolLoad {
  return {pool.slots.UsableSlots(now), pool.slots.BusySlots(now),
          pool.hold_time.mean};
}

auto Dispatcher::Enqueue(const Request& request) -> void {
  const auto found = this->state.pools.find(request->pool);
  GatewayPool& pool = found->second;
  const TimePoint now = ReadBootClock();
  DemandMeter::Service& demand = this->meter.Of(request->request.service);
  request->queued = {
      request->id, request->quota_team, request->request.request_class, now,
      request->deadline,
      // One request at a time is let through whatever the
      // observed time, or a service that was slow for a while
      // would be refused for ever.
      demand.in_flight == 0 ? Duration(0) : EstimateServiceTime(demand.time)};
  const auto offered =
      pool.queue.Offer(request->queued, this->LoadOf(pool, now), now);
  if (offered.evicted) {
    if (const auto evicted = this->open.find(offered.evicted->id);
        evicted != this->open.end()) {
      const Request loser = evicted->second;
      this->LeaveQueue(loser, "queue-full");
      this->Refuse(loser, RefusalReason::kQueueFull,
                   "made room for a more urgent request");
    }
  }
  if (offered.refused) {
    ++demand.shed;
    this->Refuse(request, *offered.refused, "the pool is overloaded");
    return;
  }
  ++demand.queued;
  this->Dispatch(pool);
}

}  // namespace fireflythread
