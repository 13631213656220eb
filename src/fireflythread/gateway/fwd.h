#ifndef FIREFLYTHREAD_GATEWAY_FWD_H_
#define FIREFLYTHREAD_GATEWAY_FWD_H_

namespace fireflythread {

struct AttemptReport;
struct BackendResponse;
struct CallerRequest;
struct CallerResponse;
struct DemandSnapshot;
struct GatewayObserver;
struct GatewayPool;
struct GatewaySettings;
struct GatewayState;
struct Refusal;
class BackendConnection;
class CallerExchange;
class CallerListener;
class ConnectionSet;
class Gateway;
class ResponseReader;
class TimerQueue;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_FWD_H_
