#ifndef FIREFLYTHREAD_RELAY_PENDING_ORDER_H_
#define FIREFLYTHREAD_RELAY_PENDING_ORDER_H_

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// An order that was submitted to a relay peer and has no reply yet.
struct PendingOrder {
  EntryId peer_id;
  WorkerOrder order;
  WorkerClient::ReportCallback callback;
  TimePoint sent_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_PENDING_ORDER_H_
