#include <algorithm>
#include <charconv>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/dispatcher.h"
#include "fireflythread/retry/retry_policy.h"

namespace fireflythread {

namespace {

constexpr int kServerError = 500;

/// The worker's own count of running requests, if it gave one.
auto ReportedInFlight(const BackendResponse& response) -> std::optional<int> {
  const std::string* text = FindHeader(response.headers, "X-In-Flight");
  int value = 0;
  if (text == nullptr ||
      std::from_chars(text->data(), text->data() + text->size(), value).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return value;
}

auto AnsweredResponse(BackendResponse response) -> CallerResponse {
  return {response.status, RequestOutcome::kAnswered, "",
          std::move(response.headers), std::move(response.body)};
}

}  // namespace

auto Dispatcher::OnAttemptDone(const Request& request,
                               const AttemptState& attempt,
                               AttemptReport report) -> void {
  const TimePoint now = ReadBootClock();
  GatewayPool& pool = this->state.pools.find(attempt.pool)->second;
  --request->live_attempts;
  --this->meter.Of(request->request.service).in_flight;
  this->FreeSlot(pool, attempt, report.result, now);
  this->JudgeWorker(pool, attempt, report, now);
  Notify(this->state.observer.attempt_finished,
         AttemptFinished{attempt.trace, request->request_id, pool.name,
                         attempt.vm, attempt.number, attempt.hedge,
                         report.result, report.response.status, report.reason,
                         attempt.started, now - attempt.started});
  if (report.result == AttemptResult::kAnswered) {
    ObserveServiceTime(this->meter.Of(request->request.service).time,
                       now - attempt.started);
    ObserveServiceTime(pool.hold_time, now - attempt.started);
  }
  if (!request->answered) {
    if (report.result == AttemptResult::kAnswered) {
      this->Finish(request, AnsweredResponse(std::move(report.response)));
    } else {
      request->any_unknown |= report.result == AttemptResult::kUnknown;
      request->failed_on.insert(attempt.vm);
      this->ContinueAfterFailure(request, pool, report);
    }
  }
  this->Dispatch(pool);
  this->CheckIdle();
}

auto Dispatcher::FreeSlot(GatewayPool& pool,
                          const AttemptState& attempt,
                          AttemptResult result,
                          TimePoint now) -> void {
  const auto worker = this->state.workers.find(attempt.vm);
  if (worker != this->state.workers.end()) {
    --worker->second.in_flight;
  }
  if (result != AttemptResult::kUnknown) {
    pool.slots.Release(attempt.vm, attempt.slot, now);
    return;
  }
  // The worker was told the attempt's deadline, so the slot is taken to be
  // free then; should it still run, the worker refuses the next request. A
  // drain has no such safety net and waits for the longest request time.
  pool.slots.Release(attempt.vm, attempt.slot, attempt.deadline);
  if (worker != this->state.workers.end()) {
    worker->second.uncertain_until.push_back(
        attempt.started + this->state.settings.longest_request);
  }
}

auto Dispatcher::JudgeWorker(GatewayPool& pool,
                             const AttemptState& attempt,
                             const AttemptReport& report,
                             TimePoint now) -> void {
  const auto worker = this->state.workers.find(attempt.vm);
  if (worker == this->state.workers.end()) {
    return;
  }
  if (const auto count = ReportedInFlight(report.response)) {
    worker->second.reported_in_flight = *count;
  }
  if (report.silent) {
    worker->second.connections->CloseIdle();
    pool.health.RecordUnresponsive(attempt.vm, now);
    this->PlanTick();
    return;
  }
  // A refusal says that the worker is full or draining, not that it fails, and
  // an attempt that was not written for this entry's own reason says nothing.
  if (report.result == AttemptResult::kRefused ||
      (report.result == AttemptResult::kNotSent && !this->MaySend(attempt))) {
    return;
  }
  const bool failed = report.result != AttemptResult::kAnswered ||
                      report.response.status >= kServerError;
  if (report.result == AttemptResult::kNotSent) {
    // No connection could be had: a probe tells at once whether the worker is
    // gone, without further requests that fail there.
    pool.health.RecordUnresponsive(attempt.vm, now);
  }
  this->ReportHealth(pool, pool.health.RecordAttempt(
                               attempt.vm, failed, now - attempt.started, now));
  if (failed) {
    this->PlanTick();
  }
}

auto Dispatcher::ReportHealth(GatewayPool& pool,
                              const std::optional<HealthChange>& change) const
    -> void {
  if (change) {
    pool.slots.SetEjected(pool.health.Ejected());
    Notify(change->ejected ? this->state.observer.worker_ejected
                           : this->state.observer.worker_readmitted,
           WorkerChange{change->vm, pool.name, change->reason});
  }
}

auto Dispatcher::OnProbeDone(const VmId& vm, bool good) -> void {
  const TimePoint now = ReadBootClock();
  for (auto& [name, pool] : this->state.pools) {
    this->ReportHealth(pool, pool.health.RecordProbe(vm, good, now));
  }
  this->DispatchAll();
}

auto Dispatcher::ContinueAfterFailure(const Request& request,
                                      GatewayPool& pool,
                                      const AttemptReport& report) -> void {
  if (request->live_attempts > 0) {
    return;
  }
  const TimePoint now = ReadBootClock();
  const RetryFacts facts{
      request->request.idempotent, report.result, request->deadline - now,
      EstimateServiceTime(this->meter.Of(request->request.service).time)};
  const bool fresh = now < this->state.confirmed_until;
  if (fresh && MayRetry(facts) && !pool.workers.empty() &&
      pool.budget.TryTake()) {
    request->queued.queued_at = now;
    pool.queue.Enqueue(request->queued);
    ++this->meter.Of(request->request.service).queued;
  } else {
    this->Refuse(
        request,
        fresh ? RefusalReason::kRefusedByWorkers : RefusalReason::kNotFresh,
        report.reason);
  }
}

auto Dispatcher::Refuse(const Request& request,
                        RefusalReason reason,
                        const std::string& detail) -> void {
  // An earlier attempt may have run, whatever stopped the next one.
  this->Finish(request, request->any_unknown
                            ? UnknownResponse(
                                  ReadBootClock() >= request->deadline, detail)
                            : RefusalResponse({reason, detail}));
}

auto Dispatcher::Finish(const Request& request, CallerResponse response)
    -> void {
  const TimePoint now = ReadBootClock();
  request->answered = true;
  if (request->hedge_timer) {
    this->state.timers.Cancel(*request->hedge_timer);
    request->hedge_timer.reset();
  }
  this->LeaveWait(*request);
  if (request->counted_by_team) {
    this->state.teams.Release(request->quota_team);
  }
  this->FinishClaim(*request, response);
  this->NotifyFinished(*request, response, now);
  request->exchange->Answer(std::move(response));
  this->open.erase(request->id);
  this->CheckIdle();
}

auto Dispatcher::FinishClaim(RequestState& request,
                             const CallerResponse& response) -> void {
  if (!request.claim) {
    return;
  }
  HeldClaim claim = std::move(*request.claim);
  request.claim.reset();
  switch (response.outcome) {
    case RequestOutcome::kNotRun:
      claim.record.state = RecordState::kNotRun;
      break;
    case RequestOutcome::kUnknown:
      claim.record.state = RecordState::kUnknown;
      break;
    case RequestOutcome::kAnswered:
      claim.record.state = RecordState::kAnswered;
      claim.record.answer =
          RecordedAnswer{response.status, {}, response.body, ""};
      for (const HttpHeader& header : response.headers) {
        if (!IsConnectionHeader(header.name)) {
          claim.record.answer->headers.push_back({header.name, header.value});
        }
      }
      break;
  }
  const std::string row_key = claim.row_key;
  this->held_keys.erase(row_key);
  this->records.Finish(std::move(claim));
  this->TellWaiting(row_key);
}

auto Dispatcher::NotifyFinished(const RequestState& request,
                                const CallerResponse& response,
                                TimePoint now) -> void {
  const bool in_time =
      response.outcome == RequestOutcome::kAnswered && now <= request.deadline;
  if (!request.pool.empty()) {
    DemandMeter::Service& demand = this->meter.Of(request.request.service);
    ++demand.ended;
    demand.in_time += in_time ? 1 : 0;
  }
  Notify(this->state.observer.request_finished,
         RequestFinished{request.trace, request.request_id,
                         request.request.service, request.pool,
                         request.request.team, request.request.request_class,
                         response.outcome, response.status, response.reason,
                         request.started, now - request.started,
                         request.attempts, in_time});
}

auto Dispatcher::NotifyWhenIdle(std::function<void()> callback) -> void {
  this->on_idle = std::move(callback);
  this->CheckIdle();
}

auto Dispatcher::CheckIdle() -> void {
  // Workers may still run attempts that lost against a hedge.
  const bool idle =
      this->open.empty() &&
      std::all_of(
          this->state.workers.begin(), this->state.workers.end(),
          [](const auto& entry) { return entry.second.in_flight == 0; });
  if (idle && this->on_idle) {
    constexpr Duration kRecordLimit = std::chrono::seconds(10);
    this->records.NotifyWhenWritten(kRecordLimit,
                                    std::exchange(this->on_idle, nullptr));
  }
}

}  // namespace fireflythread
