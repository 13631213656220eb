#ifndef FIREFLYTHREAD_GATEWAY_GATEWAY_OBSERVER_H_
#define FIREFLYTHREAD_GATEWAY_GATEWAY_OBSERVER_H_

#include <functional>

#include "fireflythread/gateway/gateway_events.h"

namespace fireflythread {

/// Hooks from which the daemon makes logs, spans and metrics. Each may be
/// empty. They run on the main loop and must not call the gateway.
struct GatewayObserver {
  std::function<void(const RequestFinished&)> request_finished;
  std::function<void(const QueueLeft&)> queue_left;
  std::function<void(const AttemptStarted&)> attempt_started;
  std::function<void(const AttemptFinished&)> attempt_finished;
  std::function<void(const WorkerChange&)> worker_ejected;
  std::function<void(const WorkerChange&)> worker_readmitted;
  std::function<void(const GatewayLog&)> log;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_GATEWAY_OBSERVER_H_
