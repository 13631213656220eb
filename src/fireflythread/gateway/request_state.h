#ifndef FIREFLYTHREAD_GATEWAY_REQUEST_STATE_H_
#define FIREFLYTHREAD_GATEWAY_REQUEST_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fireflythread/admission/queued_request.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/caller_exchange.h"
#include "fireflythread/gateway/caller_request.h"
#include "fireflythread/gateway/timer_queue.h"
#include "fireflythread/retry/idempotency_record.h"
#include "fireflythread/retry/repeat_wait.h"
#include "fireflythread/telemetry/span_context.h"

namespace fireflythread {

/// A claimed idempotency record.
struct HeldClaim {
  std::string row_key;
  IdempotencyRecord record;
  std::uint64_t version = 0;
};

/// A repeat that waits for the first request with its key.
struct WaitingRepeat {
  /// The claim it would make; names the record.
  HeldClaim claim;
  RepeatWait wait;
  TimerId end_timer;
  std::optional<TimerId> read_timer;
  /// A read of the record or a claim is on its way.
  bool asking = false;
};

/// One request from its arrival to its answer.
struct RequestState {
  std::uint64_t id = 0;
  /// Name of the request for workers, logs and traces.
  std::string request_id;
  CallerRequest request;
  std::shared_ptr<CallerExchange> exchange;
  SpanContext trace;
  PoolName pool;
  TeamName quota_team;
  TimePoint started;
  TimePoint deadline;
  bool counted_by_team = false;
  std::optional<HeldClaim> claim;
  std::optional<WaitingRepeat> waiting;
  /// What the queue holds, to put it back for another attempt.
  QueuedRequest queued;
  int attempts = 0;
  int live_attempts = 0;
  bool any_unknown = false;
  bool answered = false;
  /// Workers that failed this request.
  std::set<VmId> failed_on;
  std::optional<TimerId> hedge_timer;
};

/// One attempt of a request.
struct AttemptState {
  VmId vm;
  PoolName pool;
  int slot = 0;
  int number = 1;
  bool hedge = false;
  std::uint64_t worker_epoch = 0;
  TimePoint started;
  TimePoint deadline;
  SpanContext trace;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_REQUEST_STATE_H_
