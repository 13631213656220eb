#ifndef FIREFLYTHREAD_GATEWAY_DISPATCHER_H_
#define FIREFLYTHREAD_GATEWAY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/gateway/attempt_report.h"
#include "fireflythread/gateway/caller_response.h"
#include "fireflythread/gateway/demand_meter.h"
#include "fireflythread/gateway/gateway_state.h"
#include "fireflythread/gateway/prober.h"
#include "fireflythread/gateway/record_store.h"
#include "fireflythread/gateway/request_state.h"

namespace fireflythread {

/// The life cycle of requests: checks, record of the key, queue, attempts,
/// answer.
class Dispatcher {
 public:
  Dispatcher(GatewayState& state,
             PlatformClient& platform,
             BatchWriter& writer);

  /// Takes a request with well-formed headers.
  auto Accept(CallerRequest request, std::shared_ptr<CallerExchange> exchange)
      -> void;

  /// Sends what can be sent; called after workers or slots have changed.
  auto DispatchAll() -> void;

  /// Runs `callback` once no request is open and every record is written.
  auto NotifyWhenIdle(std::function<void()> callback) -> void;

  [[nodiscard]] auto Demand() -> DemandMeter& { return this->meter; }

 private:
  using Request = std::shared_ptr<RequestState>;

  // Admission, in dispatcher_accept.cc.
  [[nodiscard]] auto CheckRequest(RequestState& request)
      -> std::optional<Refusal>;
  auto ClaimKey(const Request& request) -> void;
  auto OnClaim(const Request& request,
               HeldClaim claim,
               const RecordStore::ClaimResult& result) -> void;
  auto OnClaimTaken(const Request& request,
                    const HeldClaim& claim,
                    const IdempotencyRecord& record) -> void;
  auto AnswerRepeat(const Request& request, const IdempotencyRecord& record)
      -> void;
  auto Enqueue(const Request& request) -> void;
  [[nodiscard]] auto LoadOf(GatewayPool& pool, TimePoint now) const -> PoolLoad;

  // Repeats that wait for the first request, in dispatcher_repeat.cc.
  auto WaitForFirst(const Request& request, const HeldClaim& claim) -> void;
  auto PlanRead(const Request& request) -> void;
  auto ReadAgain(const Request& request) -> void;
  auto LeaveWait(RequestState& request) -> void;
  auto TellWaiting(const std::string& row_key) -> void;

  // Queue and attempts, in dispatcher_send.cc.
  auto Dispatch(GatewayPool& pool) -> void;
  auto ShedHopeless(GatewayPool& pool, TimePoint now) -> void;
  auto PlanTick() -> void;
  auto Tick() -> void;
  auto LeaveQueue(const Request& request, const std::string& refused) -> void;
  [[nodiscard]] auto ChooseVm(GatewayPool& pool,
                              const RequestState* request,
                              TimePoint now) -> std::optional<VmId>;
  auto SendAttempt(const Request& request,
                   GatewayPool& pool,
                   const VmId& vm,
                   bool hedge) -> void;
  auto PlanHedge(const Request& request, Duration delay) -> void;
  auto SendHedge(const Request& request) -> void;
  [[nodiscard]] auto MaySend(const AttemptState& attempt) const -> bool;

  // Results, in dispatcher_result.cc.
  auto OnAttemptDone(const Request& request,
                     const AttemptState& attempt,
                     AttemptReport report) -> void;
  auto FreeSlot(GatewayPool& pool,
                const AttemptState& attempt,
                AttemptResult result,
                TimePoint now) -> void;
  auto JudgeWorker(GatewayPool& pool,
                   const AttemptState& attempt,
                   const AttemptReport& report,
                   TimePoint now) -> void;
  auto ReportHealth(GatewayPool& pool,
                    const std::optional<HealthChange>& change) const -> void;
  auto OnProbeDone(const VmId& vm, bool good) -> void;
  auto ContinueAfterFailure(const Request& request,
                            GatewayPool& pool,
                            const AttemptReport& report) -> void;
  auto Refuse(const Request& request,
              RefusalReason reason,
              const std::string& detail) -> void;
  auto Finish(const Request& request, CallerResponse response) -> void;
  auto FinishClaim(RequestState& request, const CallerResponse& response)
      -> void;
  auto NotifyFinished(const RequestState& request,
                      const CallerResponse& response,
                      TimePoint now) -> void;
  auto CheckIdle() -> void;

  GatewayState& state;
  RecordStore records;
  Prober prober;
  DemandMeter meter;
  std::map<std::uint64_t, Request> open;
  /// Record keys that requests of this entry hold the claim of.
  std::set<std::string> held_keys;
  /// Repeats that wait, by the key of their record.
  std::multimap<std::string, Request> waiting;
  std::uint64_t next_id = 1;
  std::string id_prefix;
  bool tick_planned = false;
  std::function<void()> on_idle;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_DISPATCHER_H_
