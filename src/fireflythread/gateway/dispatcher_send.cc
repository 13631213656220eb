#include <algorithm>
#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/attempt_bytes.h"
#include "fireflythread/gateway/dispatcher.h"
#include "fireflythread/retry/retry_policy.h"
#include "fireflythread/routing/worker_choice.h"

namespace fireflythread {

namespace {

/// How often queues are searched for requests that can no longer be answered
/// in time, and ejected workers for due probes.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);

/// A caller that waited less has hardly gone.
constexpr Duration kNoticeableWait = std::chrono::milliseconds(1);

/// Workers of the pool that can take one more request. Fills `vms` with the
/// worker of each candidate.
auto BuildCandidates(GatewayState& state,
                     GatewayPool& pool,
                     const RequestState* request,
                     TimePoint now,
                     std::vector<const VmId*>& vms)
    -> std::vector<WorkerCandidate> {
  std::vector<WorkerCandidate> candidates;
  for (const VmId& vm : pool.workers) {
    WorkerState& worker = state.workers.find(vm)->second;
    const bool fits =
        request == nullptr || (request->request.cores <= worker.cores &&
                               request->request.memory_mb <= worker.memory_mb);
    const int free_slots = pool.slots.FreeSlots(vm, now);
    if (!fits || free_slots == 0 || pool.health.IsEjected(vm) ||
        !worker.connections->HasRoom()) {
      continue;
    }
    vms.push_back(&vm);
    candidates.push_back(
        {free_slots, worker.in_flight, worker.reported_in_flight,
         worker.zone == state.settings.zone,
         pool.health.IsSuspect(vm, now) ||
             (request != nullptr && request->failed_on.contains(vm))});
  }
  return candidates;
}

}  // namespace

auto Dispatcher::DispatchAll() -> void {
  for (auto& [name, pool] : this->state.pools) {
    this->Dispatch(pool);
  }
}

auto Dispatcher::ChooseVm(GatewayPool& pool,
                          const RequestState* request,
                          TimePoint now) -> std::optional<VmId> {
  std::vector<const VmId*> vms;
  const auto candidates = BuildCandidates(this->state, pool, request, now, vms);
  const auto chosen =
      ChooseWorker(ChoiceMethod::kSlotShares, candidates, this->state.random);
  if (!chosen) {
    return std::nullopt;
  }
  return *vms[*chosen];
}

auto Dispatcher::Dispatch(GatewayPool& pool) -> void {
  const TimePoint now = ReadBootClock();
  this->ShedHopeless(pool, now);
  while (pool.queue.Size() > 0 && this->ChooseVm(pool, nullptr, now)) {
    const auto next = pool.queue.Take(now);
    const auto found = this->open.find(next->id);
    FIREFLYTHREAD_ASSERT(found != this->open.end(), "a queued request is open");
    const Request request = found->second;
    const auto vm = this->ChooseVm(pool, request.get(), now);
    if (!vm) {
      // Only larger workers than those that are free fit it.
      pool.queue.Enqueue(*next);
      break;
    }
    this->LeaveQueue(request, "");
    const bool waited = now > request->queued.queued_at + kNoticeableWait;
    if (waited && request->exchange->IsCallerGone()) {
      this->Refuse(request, RefusalReason::kCallerGone,
                   "the caller closed its connection");
    } else if (ReadBootClock() >= this->state.confirmed_until) {
      this->Refuse(request, RefusalReason::kNotFresh,
                   "control state not confirmed");
    } else {
      this->SendAttempt(request, pool, *vm, false);
    }
  }
  if (pool.queue.Size() > 0 || pool.health.EjectedCount() > 0) {
    this->PlanTick();
  }
}

auto Dispatcher::ShedHopeless(GatewayPool& pool, TimePoint now) -> void {
  for (const QueuedRequest& queued : pool.queue.TakeDeadlineUnreachable(now)) {
    const auto found = this->open.find(queued.id);
    if (found == this->open.end()) {
      continue;
    }
    const Request request = found->second;
    ++this->meter.Of(request->request.service).shed;
    this->LeaveQueue(request, "deadline-unreachable");
    this->Refuse(request, RefusalReason::kDeadlineUnreachable,
                 "waited too long in the queue");
  }
}

auto Dispatcher::PlanTick() -> void {
  if (this->tick_planned) {
    return;
  }
  this->tick_planned = true;
  std::ignore = this->state.timers.RunAt(ReadBootClock() + kTickInterval,
                                         [this] { this->Tick(); });
}

auto Dispatcher::Tick() -> void {
  this->tick_planned = false;
  const TimePoint now = ReadBootClock();
  for (auto& [name, pool] : this->state.pools) {
    for (const VmId& vm : pool.health.DueProbes(now)) {
      const auto worker = this->state.workers.find(vm);
      if (worker != this->state.workers.end()) {
        this->prober.Probe(vm, worker->second.connections->Address());
      }
    }
    this->Dispatch(pool);
  }
}

auto Dispatcher::LeaveQueue(const Request& request, const std::string& refused)
    -> void {
  --this->meter.Of(request->request.service).queued;
  const TimePoint now = ReadBootClock();
  Notify(this->state.observer.queue_left,
         QueueLeft{ChildSpan(request->trace, this->state.random),
                   request->request_id, request->pool,
                   request->request.request_class, request->queued.queued_at,
                   now - request->queued.queued_at, refused});
}

auto Dispatcher::MaySend(const AttemptState& attempt) const -> bool {
  const auto worker = this->state.workers.find(attempt.vm);
  return ReadBootClock() < this->state.confirmed_until &&
         worker != this->state.workers.end() && worker->second.serving &&
         worker->second.epoch == attempt.worker_epoch;
}

auto Dispatcher::SendAttempt(const Request& request,
                             GatewayPool& pool,
                             const VmId& vm,
                             bool hedge) -> void {
  WorkerState& worker = this->state.workers.find(vm)->second;
  const TimePoint now = ReadBootClock();
  const auto slot = pool.slots.Acquire(vm, now);
  FIREFLYTHREAD_ASSERT(slot.has_value(), "the chosen worker has a free slot");
  DemandMeter::Service& demand = this->meter.Of(request->request.service);
  const Duration limit = AttemptTimeLimit(request->request.idempotent,
                                          request->deadline - now, demand.time);
  const AttemptState attempt{vm,
                             pool.name,
                             *slot,
                             ++request->attempts,
                             hedge,
                             worker.epoch,
                             now,
                             now + limit,
                             ChildSpan(request->trace, this->state.random)};
  ++request->live_attempts;
  ++worker.in_flight;
  ++demand.in_flight;
  if (attempt.number == 1) {
    pool.budget.CountFirstAttempt();
    const auto delay = HedgeDelay(request->request.request_class,
                                  request->request.idempotent, demand.time);
    if (delay && *delay < limit) {
      this->PlanHedge(request, *delay);
    }
  }
  OutgoingRequest outgoing = BuildAttempt(
      request->request,
      {worker.connections->Address(), request->request_id, pool.name,
       this->state.settings.self,
       std::chrono::ceil<std::chrono::milliseconds>(limit), attempt.trace});
  outgoing.may_send = [this, attempt] { return this->MaySend(attempt); };
  Notify(this->state.observer.attempt_started,
         AttemptStarted{attempt.trace, request->request_id, pool.name, vm,
                        attempt.number, hedge});
  worker.connections->Send(std::move(outgoing), attempt.deadline,
                           [this, request, attempt](AttemptReport report) {
                             this->OnAttemptDone(request, attempt,
                                                 std::move(report));
                           });
}

auto Dispatcher::PlanHedge(const Request& request, Duration delay) -> void {
  request->hedge_timer =
      this->state.timers.RunAt(ReadBootClock() + delay, [this, request] {
        request->hedge_timer.reset();
        this->SendHedge(request);
      });
}

auto Dispatcher::SendHedge(const Request& request) -> void {
  const auto pool = this->state.pools.find(request->pool);
  const TimePoint now = ReadBootClock();
  // Waiting requests need the free slots more than a second attempt does.
  if (request->answered || request->live_attempts != 1 ||
      pool == this->state.pools.end() || pool->second.queue.Size() > 0 ||
      now >= this->state.confirmed_until) {
    return;
  }
  const auto vm = this->ChooseVm(pool->second, request.get(), now);
  if (vm && !request->failed_on.contains(*vm) &&
      pool->second.budget.TryTake()) {
    this->SendAttempt(request, pool->second, *vm, true);
  }
}

}  // namespace fireflythread
