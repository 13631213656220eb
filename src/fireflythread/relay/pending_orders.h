#ifndef FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_
#define FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/relay/pending_order.h"

namespace fireflythread {

/// The orders that an owner submitted to its relay peers and that have no reply
/// yet. An order is removed from the table exactly once, so its callback runs
/// exactly once.
struct PendingOrders {
  using Deadline = std::pair<TimePoint, std::uint64_t>;

  std::unordered_map<std::uint64_t, PendingOrder> orders;
  /// Includes the deadlines of orders that were removed already; they are
  /// dropped when they expire.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      deadlines;
  /// Number of pending orders per relay peer; has no entry for a count of 0.
  std::map<EntryId, int> open_by_peer;
  std::uint64_t last_number = 0;
};

/// Time added to an order's own timeout before its reply counts as missing. It
/// covers the batching on both sides, the network and a relay peer that is
/// short of CPU.
inline constexpr std::chrono::milliseconds kReplySlack{300};

/// Adds an order and returns its number.
auto AddPending(PendingOrders& pending, PendingOrder order) -> std::uint64_t;

/// Removes and returns an order. Returns no value if the order was removed
/// already or was submitted to another relay peer.
[[nodiscard]] auto TakePending(PendingOrders& pending,
                               std::uint64_t number,
                               const EntryId& peer_id)
    -> std::optional<PendingOrder>;

/// Removes and returns the orders whose timeout plus kReplySlack has passed.
[[nodiscard]] auto TakeOverdue(PendingOrders& pending, TimePoint now)
    -> std::vector<PendingOrder>;

/// Returns whether the relay peer has pending orders.
[[nodiscard]] auto HasPending(const PendingOrders& pending,
                              const EntryId& peer_id) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_PENDING_ORDERS_H_
