#ifndef FIREFLYTHREAD_DAEMON_GATEWAY_TELEMETRY_H_
#define FIREFLYTHREAD_DAEMON_GATEWAY_TELEMETRY_H_

#include "fireflythread/gateway/gateway_observer.h"

namespace fireflythread {

class Logger;
class MetricsRegistry;
class Tracer;

/// Hooks that turn the gateway's events into logs, spans and metrics. The
/// arguments must outlive the gateway.
[[nodiscard]] auto MakeGatewayObserver(const Logger& logger,
                                       Tracer& tracer,
                                       MetricsRegistry& metrics)
    -> GatewayObserver;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_GATEWAY_TELEMETRY_H_
