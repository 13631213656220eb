#ifndef FIREFLYTHREAD_RELAY_FWD_H_
#define FIREFLYTHREAD_RELAY_FWD_H_

namespace fireflythread {

class OrderRelay;
class RelayedWorkerClient;
class RelayLinks;
class RelayNode;
struct PendingOrder;
struct PendingOrders;
struct RelayCandidate;
struct RelayPeer;
struct RelayPeers;
struct WorkerOrder;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_FWD_H_
