#ifndef FIREFLYTHREAD_RELAY_IO_ORDER_RELAY_H_
#define FIREFLYTHREAD_RELAY_IO_ORDER_RELAY_H_

#include <glib.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/relay/fwd.h"
#include "fireflythread/relay/transit_delay.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// Performs orders to workers on behalf of other entries and returns the
/// results. Each order of an accepted batch is answered exactly once, unless
/// its owner has restarted in the meantime.
class OrderRelay {
 public:
  OrderRelay(RelayLinks& links, WorkerClient& local);
  ~OrderRelay();
  OrderRelay(const OrderRelay&) = delete;
  auto operator=(const OrderRelay&) -> OrderRelay& = delete;

  /// Handles a RelayHello: registers the owner and answers with a RelayWelcome.
  auto HandleHello(const peer::Envelope& envelope) -> void;
  /// Handles an OrderBatch: enqueues its orders. Ignores a batch from an
  /// unknown owner or another incarnation of it, and a duplicate or outdated
  /// batch.
  auto HandleOrders(const peer::Envelope& envelope) -> void;

  /// Stops accepting orders and tells the owners so. Orders that were accepted
  /// before are still answered.
  auto Leave() -> void;
  /// Returns whether all orders are answered.
  [[nodiscard]] auto IsIdle() const -> bool;

 private:
  /// One incarnation of an entry that sends orders.
  struct Owner {
    std::uint64_t incarnation = 0;
    TimePoint last_message_at;
    std::uint64_t last_batch = 0;
    TransitDelay transit;
    /// Answers of the next batch to this owner.
    peer::OrderReplyBatch answers;
    std::size_t bytes = 0;
  };

  /// The owner that sent an order and receives its answer, and the number that
  /// it gave the order.
  struct Origin {
    EntryId owner;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
  };

  struct QueuedOrder {
    Origin origin;
    WorkerOrder order;
    TimePoint arrived_at;
  };

  static auto OnIdle(gpointer data) -> gboolean;
  auto Admit(const EntryId& owner, const peer::Envelope& envelope) -> bool;
  /// Enqueues an order that was under way `delay` longer than usual.
  auto Enqueue(const Origin& origin,
               const peer::RelayedOrder& message,
               Duration delay) -> void;
  auto PerformQueued() -> void;
  auto Perform(QueuedOrder queued) -> void;
  auto Refuse(const Origin& origin) -> void;
  auto RefuseAsBusy(const Origin& origin) -> void;
  auto Answer(const Origin& origin, const OrderResult& result) -> void;
  auto AddToBatch(const EntryId& owner_id,
                  Owner& owner,
                  peer::RelayedAnswer answer) -> void;
  auto FindOwner(const Origin& origin) -> Owner*;
  auto FlushAll() -> void;
  auto Flush(const EntryId& owner_id, Owner& owner) -> void;
  auto RemoveUnresponsiveOwners() -> void;

  RelayLinks& links;
  WorkerClient& local;
  std::map<EntryId, Owner> owners;
  std::deque<QueuedOrder> queue;
  int in_progress = 0;
  bool stopping = false;
  guint idle_source = 0;
  OneShotTimer flush;
  PeriodicTimer owner_check;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_ORDER_RELAY_H_
